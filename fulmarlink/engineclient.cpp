#include "fulmarlink/engineclient.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/vector_body.hpp>
#include <boost/beast/http/write.hpp>

#include "fulmarlink/requestinfo.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr int kHttp11 = 11;
constexpr std::chrono::seconds kConnectTimeout{2};
constexpr std::size_t kReadBytes = 16U << 10;

/** Headers that belong to one connection, or that the relay sets itself (RFC 9110, 7.6.1). */
bool isHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> kNames
        = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};
    return std::ranges::any_of(kNames, [name](std::string_view hop) {
        return equalsIgnoringCase(hop, name);
    });
}

class HttpEngineCall final : public EngineCall, public std::enable_shared_from_this<HttpEngineCall>
{
public:
    HttpEngineCall(const asio::any_io_executor &executor, HttpTarget target, std::vector<unsigned> refusals, const DispatchId &id, EngineEvents &events)
        : m_stream(asio::make_strand(executor))
        , m_wake(m_stream.get_executor(), asio::steady_timer::time_point::max())
        , m_target(std::move(target))
        , m_refusals(std::move(refusals))
        , m_id(id)
        , m_events(events)
    {
    }

    void start(std::shared_ptr<const wire::DispatchT> request)
    {
        asio::co_spawn(
            m_stream.get_executor(),
            [self = shared_from_this(), request = std::move(request)]() -> asio::awaitable<void> {
                co_await self->run(*request);
            },
            asio::detached);
    }

    void cancel() override
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            self->m_cancelled = true;
            self->m_stream.cancel();
            self->m_wake.cancel();
        });
    }

    void resume() override
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            self->m_resumed = true;
            self->m_wake.cancel();
        });
    }

private:
    using Request = http::request<http::vector_body<std::uint8_t>>;
    using Parser = http::response_parser<http::buffer_body>;

    Request makeRequest(const wire::DispatchT &dispatch) const
    {
        Request request;
        request.version(kHttp11);
        request.method_string(dispatch.method);
        request.target(dispatch.path);
        for (const auto &header : dispatch.headers) {
            if (!isHopHeader(header->name)) {
                request.insert(header->name, header->value);
            }
        }
        request.set("Fulmarlink-Dispatch", std::to_string(m_id.entry()) + '-' + std::to_string(m_id.incarnation()) + '-' + std::to_string(m_id.sequence()));
        request.set("Fulmarlink-Priority", priorityName(static_cast<Priority>(std::min<std::size_t>(dispatch.priority, kPriorities - 1))));
        request.body() = dispatch.body;
        request.keep_alive(false);
        request.prepare_payload();
        return request;
    }

    asio::awaitable<void> run(const wire::DispatchT &dispatch)
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(m_target.address, error);
        m_stream.expires_after(kConnectTimeout);
        if (!error && !m_cancelled) {
            co_await m_stream.async_connect({address, m_target.port}, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error || m_cancelled) {
            m_events.engineFailed(m_id, m_cancelled ? ResultCode::CancelledBeforeRun : ResultCode::EngineUnreachable, true);
            co_return;
        }
        m_stream.expires_never();
        const Request request = makeRequest(dispatch);
        m_events.engineCommitted(m_id);
        co_await http::async_write(m_stream, request, asio::redirect_error(asio::use_awaitable, error));
        Parser parser;
        parser.body_limit(boost::none);
        if (!error) {
            co_await http::async_read_header(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            fail();
            co_return;
        }
        const unsigned status = parser.get().result_int();
        if (std::ranges::find(m_refusals, status) != m_refusals.end()) {
            m_events.engineFailed(m_id, ResultCode::EngineRefused, true);
            co_return;
        }
        m_events.engineHead(m_id, status, headersOf(parser));
        co_await readBody(parser);
    }

    static std::vector<std::pair<std::string, std::string>> headersOf(const Parser &parser)
    {
        std::vector<std::pair<std::string, std::string>> headers;
        for (const auto &field : parser.get()) {
            const std::string_view name(field.name_string().data(), field.name_string().size());
            if (!isHopHeader(name)) {
                headers.emplace_back(name, std::string(field.value().data(), field.value().size()));
            }
        }
        return headers;
    }

    asio::awaitable<void> readBody(Parser &parser)
    {
        std::array<std::uint8_t, kReadBytes> bytes{};
        while (!parser.is_done()) {
            boost::system::error_code error;
            parser.get().body().data = bytes.data();
            parser.get().body().size = bytes.size();
            co_await http::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            if (error) {
                fail();
                co_return;
            }
            const std::size_t size = bytes.size() - parser.get().body().size;
            if (size > 0 && !m_events.engineData(m_id, std::span(bytes.data(), size))) {
                co_await waitForResume();
            }
        }
        m_events.engineEnd(m_id);
    }

    asio::awaitable<void> waitForResume()
    {
        while (!m_resumed && !m_cancelled) {
            boost::system::error_code ignored;
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_resumed = false;
    }

    void fail()
    {
        m_events.engineFailed(m_id, m_cancelled ? ResultCode::CallerGone : ResultCode::EngineBroke, false);
    }

    beast::tcp_stream m_stream;
    asio::steady_timer m_wake;
    beast::flat_buffer m_buffer{kMaxUnparsedAnswerBytes};
    HttpTarget m_target;
    std::vector<unsigned> m_refusals;
    DispatchId m_id;
    EngineEvents &m_events;
    bool m_cancelled = false;
    bool m_resumed = false;
};

} // namespace

HttpEngine::HttpEngine(asio::any_io_executor executor, HttpTarget target, std::vector<unsigned> refusalStatuses)
    : m_executor(std::move(executor))
    , m_target(std::move(target))
    , m_refusalStatuses(std::move(refusalStatuses))
{
}

std::shared_ptr<EngineCall> HttpEngine::start(const DispatchId &id, std::shared_ptr<const wire::DispatchT> request, EngineEvents &events)
{
    auto call = std::make_shared<HttpEngineCall>(m_executor, m_target, m_refusalStatuses, id, events);
    call->start(std::move(request));
    return call;
}

} // namespace fulmarlink
