#pragma once

#include <boost/json/value.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "review/standin/server.h"

namespace review
{

/**
 * The platform's store: objects by kind and name, one revision counter, conditional writes, lists and watches. Specs are kept as JSON text, as their
 * writer sent them. Answers at once and loses nothing.
 */
class Store
{
public:
    Store();

    unsigned short port() const;
    /** Writes an object as the operator, a runner or another writer would; the return is the acknowledgement. */
    void set(const std::string &kind, const std::string &name, const std::string &spec);
    void set(const std::string &kind, const std::string &name, const boost::json::value &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        bool removed = false;
    };
    using Kind = std::map<std::string, Object>;

    bool handle(Connection &connection, const Request &request);
    std::string read(const std::string &kind, const std::string &name);
    std::string watch(const std::string &kind, const std::string &query);
    std::string write(const std::string &kind, const std::string &name, const Request &request);
    static std::string textOf(const std::string &name, const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Kind> m_kinds;
    std::uint64_t m_revision = 1000;
    Server m_server;
};

} // namespace review
