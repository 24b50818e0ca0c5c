// Stateful fuzzing: random sequences of requests, faults and operators' doings on a
// small world of real decision code. The oracle (testing/harness/world.h) knows only
// the promises. FULMARLINK_FUZZ_CASES=N asks for N sequences, FULMARLINK_FUZZ_SEED for
// another seed.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <sstream>

#include "testing/harness/mutation_on.h"
#include "testing/harness/scenario.h"
#include "testing/harness/world.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned kEntries = 3;
constexpr unsigned kRunners = 3;
constexpr unsigned kKeys = 4;
constexpr unsigned kSequenceSteps = 40;
constexpr std::uint64_t kMutationSequences = 300;
constexpr const char *kRules = "rules:\n"
                               "  - {name: notes, when: {path_prefix: /note}, then: {route: pool, idempotent: false}}\n"
                               "  - {name: rest, when: {}, then: {route: pool, idempotent: true}}\n";

/** What the fuzzer itself keeps: only how much happened, the oracle is the world. */
struct Model {
    unsigned steps = 0;
};

struct Sut {
    Sut(std::uint64_t seed)
        : world(options(seed))
    {
        for (unsigned i = 0; i < kEntries; ++i) {
            world.addEntry(entryName(i), "zone-" + std::to_string(i));
        }
        for (unsigned i = 0; i < kRunners; ++i) {
            world.addRunner(runnerName(i), "pool", "zone-" + std::to_string(i), 2);
        }
        world.run(3s);
    }

    static WorldOptions options(std::uint64_t seed)
    {
        WorldOptions result;
        result.seed = seed;
        result.rules = kRules;
        return result;
    }

    static std::string entryName(unsigned i)
    {
        return "e" + std::to_string(i % kEntries);
    }

    static std::string runnerName(unsigned i)
    {
        return "r" + std::to_string(i % kRunners);
    }

    static std::string nodeName(unsigned i)
    {
        return i % (kEntries + kRunners) < kEntries ? entryName(i % kEntries) : runnerName(i % kRunners);
    }

    World world;
    unsigned nextRequest = 0;
};

using FuzzCommand = rc::state::Command<Model, Sut>;

/** What one step draws. What the numbers mean is the step's own affair. */
struct Draw {
    unsigned kind = 0; ///< below 100
    unsigned a = 0; ///< below 60
    unsigned b = 0; ///< below 60
    unsigned time = 0; ///< below 1500

    void play(Sut &sut) const
    {
        World &world = sut.world;
        if (kind < 40) {
            playRequest(sut);
        } else if (kind < 46) {
            world.pause(Sut::nodeName(a), std::chrono::milliseconds(time * 2));
        } else if (kind < 50) {
            world.kill(Sut::runnerName(a));
        } else if (kind < 56) {
            world.restart(Sut::nodeName(a));
        } else if (kind < 64) {
            world.breakLink(Sut::entryName(a), b % 2 == 0 ? Sut::runnerName(b) : Sut::entryName(b));
        } else if (kind < 69) {
            world.cut(Sut::entryName(a), b % 2 == 0 ? Sut::runnerName(b) : Sut::entryName(b), std::chrono::milliseconds(time));
        } else if (kind < 73) {
            world.setDuplicates(a % 2 == 0 ? 0.3 : 0);
            world.setReorder(std::chrono::milliseconds(b % 2 == 0 ? 40 : 0));
        } else if (kind < 75) {
            world.setDrops(a % 2 == 0 ? 0.1 : 0);
        } else {
            playPlatform(sut);
        }
        world.run(std::chrono::milliseconds(time / 3));
    }

    void playRequest(Sut &sut) const
    {
        World &world = sut.world;
        const bool keyed = b % 3 == 0;
        const bool single = b % 3 < 2;
        const std::string number = std::to_string(sut.nextRequest++);
        const std::string key = keyed ? "key" + std::to_string(b % kKeys) : std::string();
        world.request(
            "a" + number, keyed ? "s-" + key : "s" + number, Sut::entryName(a), single ? "/note" : "/ask", key, std::chrono::milliseconds(200 + time * 2));
        if (a % 10 == 0) {
            world.run(std::chrono::milliseconds(time / 20));
            world.callerLeaves("a" + number);
        }
    }

    void playPlatform(Sut &sut) const
    {
        World &world = sut.world;
        if (kind < 79) {
            world.setStoreDown(a % 2 == 0);
        } else if (kind < 81) {
            world.loseStoreAnswers(1 + a % 3);
        } else if (kind < 85) {
            world.apply(kRules, b % 4 == 0 ? b % 3 : world.storeVersion("rules"));
        } else if (kind < 88) {
            world.drain(Sut::nodeName(a));
        } else if (kind < 91) {
            world.unlist(Sut::nodeName(a));
        } else if (kind < 95) {
            world.restart(Sut::nodeName(a));
            world.list(Sut::nodeName(a));
        } else if (kind < 97) {
            world.setEngineBreakAfter(Sut::runnerName(a), b % 2 == 0 ? 2 : 0);
        } else if (kind < 98) {
            world.setEngineStalled(Sut::runnerName(a), b % 3 == 0);
        } else {
            world.setEngineRefusing(Sut::runnerName(a), b % 3 == 0);
        }
    }
};

struct Step : FuzzCommand {
    Draw draw{*rc::gen::inRange(0U, 100U), *rc::gen::inRange(0U, 60U), *rc::gen::inRange(0U, 60U), *rc::gen::inRange(0U, 1500U)};

    void apply(Model &model) const override
    {
        ++model.steps;
    }

    void run(const Model & /*model*/, Sut &sut) const override
    {
        draw.play(sut);
        RC_ASSERT(sut.world.violations().empty());
    }

    void show(std::ostream &out) const override
    {
        out << "step(" << draw.kind << ", " << draw.a << ", " << draw.b << ", " << draw.time << ")";
    }
};

/** Everything heals; then every request must have ended and every promise held. */
void settle(World &world)
{
    world.setStoreDown(false);
    world.setDrops(0);
    world.setDuplicates(0);
    world.setReorder(0ms);
    world.run(12s);
    world.checkEnd();
}

unsigned long numberFrom(const char *variable, unsigned long fallback)
{
    const char *text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): no other thread yet
    return text == nullptr ? fallback : std::strtoul(text, nullptr, 10);
}

void configure(unsigned long cases)
{
    const std::string params = "seed=" + std::to_string(numberFrom("FULMARLINK_FUZZ_SEED", 7)) + " max_success=" + std::to_string(cases) + " max_size=60";
    setenv("RC_PARAMS", params.c_str(), 1); // NOLINT(concurrency-mt-unsafe): before RapidCheck reads it
}

/** A sequence from a seed alone, without shrinking: cheap enough to hunt mutations with. */
std::vector<std::string> playSequence(std::uint64_t seed)
{
    Random random(seed);
    Sut sut(seed);
    const auto number = [&](unsigned bound) {
        return static_cast<unsigned>(random() % bound);
    };
    for (unsigned i = 0; i < kSequenceSteps && sut.world.violations().empty(); ++i) {
        const Draw draw{number(100), number(60), number(60), number(1500)};
        draw.play(sut);
    }
    settle(sut.world);
    return sut.world.violations();
}

TEST(Fuzz, PromisesHoldUnderAnySequence)
{
    const unsigned long cases = numberFrom("FULMARLINK_FUZZ_CASES", 300);
    configure(cases);
    unsigned long steps = 0;
    const bool held = rc::check("promises hold", [&] {
        Sut sut(*rc::gen::arbitrary<std::uint32_t>());
        rc::state::check(Model(), sut, rc::state::gen::execOneOfWithArgs<Step>());
        settle(sut.world);
        steps += sut.nextRequest;
        RC_ASSERT(sut.world.violations() == std::vector<std::string>());
    });
    std::cout << "fuzz: " << cases << " sequences, seed " << numberFrom("FULMARLINK_FUZZ_SEED", 7) << ", " << steps << " requests\n";
    EXPECT_TRUE(held);
}

struct MutationCase {
    Mutation mutation;
    const char *name;
};

/** Names the case in the list of tests. */
std::ostream &operator<<(std::ostream &out, const MutationCase &testCase)
{
    return out << testCase.name;
}

class FuzzMutation : public ::testing::TestWithParam<MutationCase>
{
};

TEST_P(FuzzMutation, IsCaught)
{
    const ScopedMutation on(GetParam().mutation);
    for (const auto &file : std::filesystem::directory_iterator(FULMARLINK_SOURCE_DIR "/testing/scenarios")) {
        std::ifstream stream(file.path());
        std::ostringstream text;
        text << stream.rdbuf();
        const auto failures = runScenario(text.str(), file.path().filename()).failures;
        if (!failures.empty()) {
            std::cout << GetParam().name << " caught by " << file.path().filename() << ": " << failures.front() << '\n';
            return;
        }
    }
    for (std::uint64_t seed = 1; seed <= kMutationSequences; ++seed) {
        const auto violations = playSequence(seed);
        if (!violations.empty()) {
            std::cout << GetParam().name << " caught by sequence " << seed << ": " << violations.front() << '\n';
            return;
        }
    }
    FAIL() << GetParam().name << " was not caught in " << kMutationSequences << " sequences";
}

INSTANTIATE_TEST_SUITE_P(All,
                         FuzzMutation,
                         ::testing::Values(MutationCase{Mutation::RetryAfterCommit, "RetryAfterCommit"},
                                           MutationCase{Mutation::ForgetDispatches, "ForgetDispatches"},
                                           MutationCase{Mutation::AcceptStaleLink, "AcceptStaleLink"},
                                           MutationCase{Mutation::NoTombstone, "NoTombstone"},
                                           MutationCase{Mutation::FalseNotRun, "FalseNotRun"},
                                           MutationCase{Mutation::SkipChunk, "SkipChunk"},
                                           MutationCase{Mutation::CutIsWhole, "CutIsWhole"},
                                           MutationCase{Mutation::IgnoreLeaving, "IgnoreLeaving"},
                                           MutationCase{Mutation::ForgetKeys, "ForgetKeys"},
                                           MutationCase{Mutation::GrantTwice, "GrantTwice"},
                                           MutationCase{Mutation::IgnoreIncarnation, "IgnoreIncarnation"},
                                           MutationCase{Mutation::GrantInHandover, "GrantInHandover"},
                                           MutationCase{Mutation::ForgetDoubt, "ForgetDoubt"},
                                           MutationCase{Mutation::AcceptOldConfiguration, "AcceptOldConfiguration"}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(Fuzz, UnmutatedSequencesHold)
{
    const unsigned long sequences = numberFrom("FULMARLINK_MUTATION_CASES", kMutationSequences);
    for (std::uint64_t seed = 1; seed <= sequences; ++seed) {
        const auto violations = playSequence(seed);
        ASSERT_TRUE(violations.empty()) << "sequence " << seed << ": " << violations.front();
    }
}

} // namespace

} // namespace fulmarlink::testing
