#include "app/parsetarget.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace fulmarlink
{

bool parseTarget(const std::string &text, HttpTarget &target)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    target.address = text.substr(0, colon);
    boost::system::error_code bad;
    boost::asio::ip::make_address(target.address, bad);
    const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), target.port);
    return !bad && error == std::errc() && end == text.data() + text.size();
}

} // namespace fulmarlink
