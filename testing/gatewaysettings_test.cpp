// Validation of the gateway's settings, and of the template that the platform fills in.

#include "fulmarlink/gatewaysettings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

namespace fulmarlink::testing
{

namespace
{

const std::string kMinimalSettings = "host: a\nzone: z\nlisten:\n  callers: \"127.0.0.1:80\"\n  readiness: \"127.0.0.1:81\"\nstore: \"10.0.0.1:8223\"\n";

GatewaySettings parse(const std::string &text, FileErrors &errors)
{
    return GatewaySettings::parse(text, "test.yaml", errors);
}

std::string firstError(const std::string &text)
{
    FileErrors errors;
    parse(text, errors);
    return errors.empty() ? "" : errors.front().text();
}

std::string withReplacement(const std::string &from, const std::string &to)
{
    std::string text = kMinimalSettings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(GatewaySettings, MissingKeysTakeDefaults)
{
    FileErrors errors;
    const GatewaySettings settings = parse(kMinimalSettings, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(settings.callers.port, 80);
    EXPECT_EQ(settings.store.address, "10.0.0.1");
    EXPECT_EQ(settings.revokeBound.count(), 5000);
    EXPECT_EQ(settings.metrics.port, 0);
    EXPECT_EQ(settings.crashes.holdTime, Duration(std::chrono::minutes(5)));
    EXPECT_EQ(parse(kMinimalSettings + "crashes:\n  hold_ms: 700\n  keep_held_ms: 172800000\n", errors).crashes.holdTime,
              Duration(std::chrono::milliseconds(700)));
    EXPECT_TRUE(errors.empty());
}

TEST(GatewaySettings, InvalidInputIsReportedWithItsLocation)
{
    EXPECT_NE(firstError("zone: z\n").find("host"), std::string::npos);
    EXPECT_NE(firstError(kMinimalSettings + "extra: 1\n").find("test.yaml:7"), std::string::npos);
    EXPECT_NE(firstError(withReplacement("10.0.0.1:8223", "10.0.0.1")).find("an IP address and a port"), std::string::npos);
    EXPECT_NE(firstError(withReplacement("127.0.0.1:80", "localhost:80")).find("an IP address and a port"), std::string::npos);
    EXPECT_NE(firstError(withReplacement("127.0.0.1:80", "127.0.0.1:80x")).find("an IP address and a port"), std::string::npos);
    EXPECT_NE(firstError(kMinimalSettings + "bounds:\n  retry_ratio: 400\n"), "");
    EXPECT_NE(firstError(kMinimalSettings + "bounds:\n  revoke_ms: -1\n"), "");
    EXPECT_NE(firstError(kMinimalSettings + "crashes:\n  hold_ms: soon\n"), "");
    EXPECT_NE(firstError(kMinimalSettings + "crashes:\n  ban_ms: 7\n"), "");
}

TEST(GatewaySettings, FilledTemplateYieldsValidSettings)
{
    std::ifstream file(std::string(FULMARLINK_SOURCE_DIR) + "/deploy/gateway.yaml.in");
    std::ostringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    const std::map<std::string, std::string> values = {{"node_name", "front-1"},
                                                       {"zone", "z"},
                                                       {"ip", "10.1.0.40"},
                                                       {"listen.front_addr", "10.1.0.40:8227"},
                                                       {"listen.ready_addr", "10.1.0.40:8220"},
                                                       {"port_range.0", "7340"},
                                                       {"platform.addr", "10.200.1.7:8223"},
                                                       {"limits.link_mbps", "1000.0"},
                                                       {"limits.max_fds", "4100"},
                                                       {"limits.memory_mb", "160"},
                                                       {"bounds.revoke_ms", "5000"},
                                                       {"bounds.config_ms", "3000"},
                                                       {"bounds.drain_ms", "3000"},
                                                       {"bounds.grace_s", "8"},
                                                       {"bounds.stall_ms", "1500"},
                                                       {"bounds.budget_window_s", "10"},
                                                       {"bounds.retry_ratio", "0.2"},
                                                       {"bounds.retry_slack", "124"}};
    for (const auto &[name, value] : values) {
        std::string placeholder = "{{";
        placeholder += name;
        placeholder += "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    ASSERT_EQ(text.find("{{"), std::string::npos) << text;
    FileErrors errors;
    const GatewaySettings settings = parse(text, errors);
    EXPECT_TRUE(errors.empty()) << (errors.empty() ? "" : errors.front().text());
    EXPECT_EQ(settings.shutdownLimit.count(), 8000);
    EXPECT_EQ(settings.retryWindow.count(), 10'000);
    EXPECT_EQ(settings.configurationBound.count(), 3000);
    EXPECT_DOUBLE_EQ(settings.retrySlack, 124);
    EXPECT_DOUBLE_EQ(settings.linkMbps, 1000);
    EXPECT_EQ(settings.maxCallerConnections, 2050U);
    EXPECT_EQ(settings.requestMemory.smallRequests + settings.requestMemory.largeRequests + settings.requestMemory.answers, 40U * (1U << 20));
}

TEST(GatewaySettings, MemoryIsANumberOfMegabytes)
{
    FileErrors errors;
    EXPECT_EQ(parse(kMinimalSettings, errors).maxCallerConnections, 2048U) << "without a figure it limits no connection";
    EXPECT_LT(parse(kMinimalSettings + "memory_mb: 64\n", errors).maxCallerConnections, 2048U);
    EXPECT_TRUE(errors.empty());
    EXPECT_NE(firstError(kMinimalSettings + "memory_mb: 63\n"), "");
    EXPECT_NE(firstError(kMinimalSettings + "memory_mb: much\n"), "");
}

TEST(GatewaySettings, LinkSpeedIsEmptyOrANumber)
{
    FileErrors errors;
    EXPECT_EQ(parse(kMinimalSettings, errors).linkMbps, 0);
    EXPECT_EQ(parse(kMinimalSettings + "link_mbps: \n", errors).linkMbps, 0) << "a platform that does not provide the value leaves it empty";
    EXPECT_EQ(parse(kMinimalSettings + "link_mbps: 40.5\n", errors).linkMbps, 40.5);
    EXPECT_TRUE(errors.empty());
    EXPECT_NE(firstError(kMinimalSettings + "link_mbps: fast\n"), "");
}

} // namespace fulmarlink::testing
