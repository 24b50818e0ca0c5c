#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <limits>
#include <string>

#include "fulmarlink/leasedtext.h"

namespace fulmarlink
{

class MemoryLease;

/**
 * Body of a message that is being received, as Beast's parser fills it in. It takes memory from a lease as bytes arrive, whatever
 * length was announced; without room the parser ends with no_buffer_space.
 */
struct LeasedBody {
    // NOLINTBEGIN(readability-identifier-naming): names that Beast requires
    struct value_type {
        std::string text;
        MemoryLease *lease = nullptr;
    };

    static std::uint64_t size(const value_type &body)
    {
        return body.text.size();
    }

    class reader
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_announced = length ? static_cast<std::size_t>(*length) : m_announced;
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
        {
            const std::size_t size = boost::beast::buffer_bytes(buffers);
            if (!reserveLeased(m_body.text, m_body.text.size() + size, m_announced, *m_body.lease)) {
                error = boost::asio::error::no_buffer_space;
                return 0;
            }
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.text.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            error = {};
            return size;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
        std::size_t m_announced = std::numeric_limits<std::size_t>::max(); ///< length of the body
    };
    // NOLINTEND(readability-identifier-naming)
};

} // namespace fulmarlink
