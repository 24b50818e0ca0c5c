#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>
#include <memory>
#include <string>

#include "fulmarlink/httpclient.h"

namespace fulmarlink::testing
{

/** What a caller got. */
struct Answer {
    unsigned status = 0; ///< 0: none
    std::string body;
    bool whole = false;
    boost::beast::http::fields head;

    std::string operator[](const std::string &name) const
    {
        return std::string(head[name]);
    }
};

/** Sends @p message on a connection of its own; @p done is set when @p answer is final. */
boost::asio::awaitable<void>
callOnce(boost::asio::io_context &context, HttpTarget gateway, HttpRequest message, std::shared_ptr<Answer> answer, std::shared_ptr<bool> done);

} // namespace fulmarlink::testing
