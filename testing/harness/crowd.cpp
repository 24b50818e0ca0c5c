#include "testing/harness/crowd.h"

#include <sstream>

namespace fulmarlink::testing
{

namespace
{

std::string requestHead(const std::string &target, const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\nAuthorization: Token key\r\n" + framing + "\r\n";
}

std::string announced(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

/**
 * A request whose head consists of fields of five bytes. Reads of 4,096 bytes end within the first two bytes of a field, where a
 * parser can have consumed everything before, so that what is left in its buffer never gets longer.
 */
Script headOfShortFields(std::size_t bytes)
{
    constexpr std::size_t kField = 5;
    std::string begin = "POST /again/x HTTP/1.1\r\nHost: h\r\n";
    begin += "b:" + std::string(2 * kField - (begin.size() + 4) % kField, ' ') + "\r\n";
    return {begin + 'a', ":b\r\na", bytes / kField, {}};
}

} // namespace

Crowd crowdOf(const std::string &name)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunkedHead = requestHead("/again/x", chunked);
    constexpr std::size_t kFarOver = 16 * kMegabyte;
    if (name == "trailers") {
        return {.clients = 20, .script = {chunkedHead + chunk(4) + "0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n", kFarOver / 113, {}}};
    }
    if (name == "chunk-extensions") {
        return {.clients = 20, .script = {chunkedHead + "4;x=", std::string(kKilobyte, 'e'), kFarOver / kKilobyte, {}}};
    }
    if (name == "bodies-over-the-limit") {
        const Script longer{requestHead("/again/x", announced(kFarOver * 8)), std::string(kKilobyte, 'x'), kFarOver / kKilobyte, {}};
        return {.clients = 40, .script = longer, .others = {{chunkedHead, chunk(kKilobyte), kFarOver / kKilobyte, {}}}};
    }
    if (name == "announced-bodies") {
        return {.script
                = {requestHead("/again/x", announced(kCrowdMaxBody)), std::string(kKilobyte, 'x'), kCrowdMaxBody / kKilobyte - 1, std::string(1023, 'x')}};
    }
    if (name == "large-chunks") {
        return {.script = {chunkedHead, chunk(256 * kKilobyte), 3, chunk(256 * kKilobyte - 1)}};
    }
    if (name == "small-chunks") {
        return {.script = {chunkedHead, chunk(16), kCrowdMaxBody / 16 - 1, chunk(15)}, .others = {{chunkedHead, chunk(1), 256 * kKilobyte, {}}}};
    }
    if (name == "heads-without-end") {
        return {.clients = 60, .script = headOfShortFields(kMegabyte)};
    }
    if (name == "short-fields") {
        Script script = headOfShortFields(16'000);
        script.end = ":b\r\n" + announced(10) + "\r\n123456789";
        return {.clients = 240, .script = script};
    }
    if (name == "requests-behind-one-that-waits") {
        return {
            .clients = 580, .script = {requestHead("/hold/x", announced(0)), std::string(kKilobyte, 'x'), 0, {}}, .maxOpenFiles = 1200, .fillsKernel = true};
    }
    if (name == "unread-answers") {
        return {.script = {requestHead("/large/x", announced(0)), {}, 0, {}, true}};
    }
    const std::string head = "POST /v1/readyz HTTP/1.1\r\nHost: h\r\n";
    const Script body{head + announced(2 * kMegabyte) + "\r\n", std::string(kKilobyte, 'x'), 2 * kKilobyte - 1, {}};
    const Script trailer{head + chunked + "\r\n0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n", 2 * kMegabyte / 113, {}};
    if (name == "readiness-bodies") {
        return {.port = Crowd::Port::Readiness, .script = body, .others = {trailer}};
    }
    if (name == "metrics-bodies") {
        return {.port = Crowd::Port::Metrics, .script = body, .others = {trailer}};
    }
    if (name == "readiness-connections") {
        return {.port = Crowd::Port::Readiness, .clients = 700, .script = {"GET ", {}, 0, {}}};
    }
    if (name == "metrics-connections") {
        return {.port = Crowd::Port::Metrics, .clients = 700, .script = {"GET ", {}, 0, {}}};
    }
    return {.clients = 0};
}

} // namespace fulmarlink::testing
