#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "fulmarlink/httpserver.h"

namespace review
{

/**
 * The platform's store with drills: it can be away for a moment and come back from a copy, with its revisions gone back and a higher
 * Store-Era in all its answers. Objects by kind and name, conditional writes, lists and watches, as the platform's page describes them.
 */
class DrillStore
{
public:
    explicit DrillStore(boost::asio::io_context &context);

    std::uint16_t listen();
    /** Writes as the operator or a runner would. */
    void set(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    std::size_t count(const std::string &kind) const;

    /** Keeps a copy of all that is stored. */
    void copy();
    /** Refuses all calls (503) until restore(). */
    void goAway();
    /** Comes back from the copy. */
    void restore();

private:
    struct Object {
        std::uint64_t revision = 0;
        boost::json::value spec;
    };

    struct State {
        std::map<std::string, std::map<std::string, Object>> objects; ///< by kind, by name
        std::map<std::string, std::map<std::string, std::uint64_t>> removed; ///< revisions of removals, by kind, by name
        std::uint64_t revision = 1;
    };

    boost::asio::awaitable<fulmarlink::HttpResponse> handle(fulmarlink::HttpRequest request);
    boost::asio::awaitable<fulmarlink::HttpResponse> watch(std::string kind, std::uint64_t revision, std::uint64_t waitMs);
    fulmarlink::HttpResponse list(const std::string &kind) const;
    fulmarlink::HttpResponse write(const std::string &kind, const std::string &name, const fulmarlink::HttpRequest &request);
    fulmarlink::HttpResponse erase(const std::string &kind, const std::string &name);
    boost::json::object describe(const std::string &name, const Object &object) const;
    fulmarlink::HttpResponse answer(unsigned status, const boost::json::value &body) const;

    boost::asio::io_context &m_context;
    std::shared_ptr<fulmarlink::HttpServer> m_server;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    bool m_away = false;
};

} // namespace review
