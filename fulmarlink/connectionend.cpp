#include "fulmarlink/connectionend.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

ConnectionEnd connectionEnd(const boost::system::error_code &error, bool answerBegun)
{
    if (!error || error == boost::beast::error::timeout) {
        return ConnectionEnd::Open;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::eof) {
        return ConnectionEnd::InOrder;
    }
    const bool reset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    return reset && !answerBegun ? ConnectionEnd::Reset : ConnectionEnd::Failed;
}

} // namespace fulmarlink
