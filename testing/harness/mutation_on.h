#pragma once

#include "fulmarlink/mutation.h"

namespace fulmarlink::testing
{

/** Switches one broken variant on for the lifetime of this object. */
class ScopedMutation
{
public:
    explicit ScopedMutation(Mutation mutation);
    ~ScopedMutation();
    ScopedMutation(const ScopedMutation &) = delete;
    ScopedMutation &operator=(const ScopedMutation &) = delete;
};

} // namespace fulmarlink::testing
