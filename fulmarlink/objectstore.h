#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace fulmarlink
{

/** One object as the object API holds it. Version 0: there is none. */
struct StoredObject {
    std::uint64_t version = 0;
    std::string text;
};

/**
 * The platform's object API: versions, conditional updates, watches.
 *
 * Contract: callbacks come once each, on any thread. Errors: StoreUnavailable (nothing
 * was written), StoreAnswerLost (a write may have taken effect), VersionConflict (it
 * did not), ObjectNotFound.
 */
class ObjectStore
{
public:
    using Callback = std::function<void(std::error_code, const StoredObject &)>;

    virtual ~ObjectStore() = default;
    virtual void get(const std::string &key, Callback callback) = 0;
    /** Writes if the object's version is @p expected; 0 demands that it does not exist. Gives the new version. */
    virtual void put(const std::string &key, std::uint64_t expected, const std::string &text, Callback callback) = 0;
    /** Answers when the version rises above @p above, or with VersionNotNewer after a while. */
    virtual void watch(const std::string &key, std::uint64_t above, Callback callback) = 0;
};

} // namespace fulmarlink
