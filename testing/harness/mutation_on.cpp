#include "testing/harness/mutation_on.h"

#include <atomic>

namespace fulmarlink
{

namespace
{

std::atomic<Mutation> &current()
{
    static std::atomic<Mutation> mutation = Mutation::None;
    return mutation;
}

} // namespace

bool mutated(Mutation mutation)
{
    return current().load(std::memory_order_relaxed) == mutation;
}

namespace testing
{

ScopedMutation::ScopedMutation(Mutation mutation)
{
    current() = mutation;
}

ScopedMutation::~ScopedMutation()
{
    current() = Mutation::None;
}

} // namespace testing

} // namespace fulmarlink
