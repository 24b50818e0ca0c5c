#include "fulmarlink/requestfingerprint.h"

#include <gtest/gtest.h>
#include <set>

namespace fulmarlink::testing
{

namespace
{

const RequestIdentity kBase{"customer", "POST", "h.example", "/a/b?q=1", "body"};

} // namespace

TEST(RequestFingerprint, DiffersInEachFieldAndInFieldBoundaries)
{
    const std::set<RequestFingerprint> all{fingerprintOf(kBase),
                                           fingerprintOf({"other", "POST", "h.example", "/a/b?q=1", "body"}),
                                           fingerprintOf({"customer", "PUT", "h.example", "/a/b?q=1", "body"}),
                                           fingerprintOf({"customer", "POST", "g.example", "/a/b?q=1", "body"}),
                                           fingerprintOf({"customer", "POST", "h.example", "/a/b?q=2", "body"}),
                                           fingerprintOf({"customer", "POST", "h.example", "/a/b?q=1", "body2"}),
                                           fingerprintOf({"customer", "POST", "h.example", "/a/b?q=1b", "ody"}),
                                           fingerprintOf({"customer", "POST", "h.example", "", "/a/b?q=1body"})};
    EXPECT_EQ(all.size(), 8U);
}

TEST(RequestFingerprint, IsStableAcrossHostsAndVersions)
{
    EXPECT_EQ(fingerprintOf(kBase), fingerprintOf(kBase));
    EXPECT_EQ(fingerprintOf({}).text(), "2d06800538d394c29a026d96b3c0f0fca057271c9071c99d") << "hosts of other versions store records under these keys";
}

TEST(RequestFingerprint, EqualBodiesOfTwoCustomersDifferOnlyInTheCustomerPart)
{
    const RequestFingerprint own = fingerprintOf(kBase);
    const RequestFingerprint other = fingerprintOf({"other", "POST", "h.example", "/a/b?q=1", "body"});
    EXPECT_NE(own.customer, other.customer);
    EXPECT_EQ(own.low, other.low);
}

TEST(RequestFingerprint, CoversTheWholeBody)
{
    std::string body(1U << 20, 'x');
    const RequestFingerprint before = fingerprintOf({"c", "POST", "h", "/", body});
    body.back() = 'y';
    EXPECT_NE(fingerprintOf({"c", "POST", "h", "/", body}), before);
}

TEST(RequestFingerprint, ParsesOnlyTheFormOfItsText)
{
    const RequestFingerprint fingerprint = fingerprintOf(kBase);
    EXPECT_EQ(RequestFingerprint::parse(fingerprint.text()), fingerprint);
    for (const std::string &invalid :
         {std::string(), std::string("12"), std::string(48, 'g'), std::string(49, '0'), std::string(48, '-'), std::string(48, 'A')}) {
        EXPECT_FALSE(RequestFingerprint::parse(invalid)) << invalid;
    }
}

} // namespace fulmarlink::testing
