#include "fulmarlink/rulesapply.h"

#include <algorithm>
#include <future>
#include <sstream>
#include <thread>

#include "fulmarlink/resultcode.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace
{

constexpr const char *kRules = "rules";
constexpr std::string_view kHeader = "# apply ";
constexpr std::chrono::milliseconds kReadBackPause{200};
constexpr std::size_t kMaxDiffLines = 4000; ///< longer files are shown whole

using StoreOutcome = std::pair<std::error_code, StoredObject>;

StoreOutcome writeObject(ObjectStore &store, const std::string &key, std::uint64_t expected, const std::string &text)
{
    auto promise = std::make_shared<std::promise<StoreOutcome>>();
    auto future = promise->get_future();
    store.put(key, expected, text, [promise](std::error_code error, const StoredObject &object) {
        promise->set_value({error, object});
    });
    return future.get();
}

std::vector<std::string> linesOf(std::string_view text)
{
    std::vector<std::string> lines;
    std::istringstream stream{std::string(text)};
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/** Lengths of the longest common subsequences of the lines' ends. */
std::vector<std::vector<unsigned>> commonLengths(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    std::vector<std::vector<unsigned>> lengths(a.size() + 1, std::vector<unsigned>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            lengths[i][j] = a[i] == b[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    return lengths;
}

/** After a lost answer: is the stored object the one that was written? */
void readBack(ObjectStore &store, const ApplyRequest &request, ApplyResult &result)
{
    while (result.readBacks < kMaxReadBacks) {
        ++result.readBacks;
        const auto [error, object] = readObject(store, kRules);
        if (error && error != ResultCode::ObjectNotFound) {
            std::this_thread::sleep_for(kReadBackPause);
            continue;
        }
        result.version = object.version;
        if (parseApplyHeader(object.text).first == request.applyId) {
            result.error = {};
            return;
        }
        // The object is still the one that was read: the write may yet be on its way, or be lost for good.
        if (object.version == request.expectedVersion) {
            std::this_thread::sleep_for(kReadBackPause);
            continue;
        }
        // Somebody else has written. Whether before or after this write can't be seen from here.
        result.error = object.version == request.expectedVersion + 1 ? ResultCode::VersionConflict : ResultCode::StoreAnswerLost;
        result.current = object.text;
        return;
    }
}

} // namespace

std::pair<std::error_code, StoredObject> readObject(ObjectStore &store, const std::string &key)
{
    auto promise = std::make_shared<std::promise<StoreOutcome>>();
    auto future = promise->get_future();
    store.get(key, [promise](std::error_code error, const StoredObject &object) {
        promise->set_value({error, object});
    });
    return future.get();
}

ApplyResult applyRules(ObjectStore &store, const ApplyRequest &request)
{
    ApplyResult result;
    if (!RuleSet::parse(request.text, request.file, result.fileErrors)) {
        result.error = ResultCode::RulesInvalid;
        return result;
    }
    const std::string text = applyHeader(request.applyId, request.operatorName) + request.text;
    const auto [error, object] = writeObject(store, kRules, request.expectedVersion, text);
    result.error = error;
    result.version = object.version;
    if (error == ResultCode::StoreAnswerLost) {
        readBack(store, request, result);
    } else if (error == ResultCode::VersionConflict) {
        const auto [readError, current] = readObject(store, kRules);
        result.version = current.version;
        result.current = current.text;
    }
    return result;
}

std::string applyHeader(const std::string &applyId, const std::string &operatorName)
{
    return std::string(kHeader) + applyId + ' ' + operatorName + '\n';
}

std::pair<std::string, std::string> parseApplyHeader(std::string_view text)
{
    if (!text.starts_with(kHeader)) {
        return {};
    }
    std::istringstream stream{std::string(text.substr(kHeader.size(), text.find('\n') - kHeader.size()))};
    std::string id;
    std::string name;
    stream >> id >> name;
    return {id, name};
}

std::string_view withoutApplyHeader(std::string_view text)
{
    const std::size_t end = text.find('\n');
    return text.starts_with(kHeader) && end != std::string_view::npos ? text.substr(end + 1) : text;
}

std::vector<std::string> diffLines(std::string_view before, std::string_view after)
{
    const auto a = linesOf(before);
    const auto b = linesOf(after);
    std::vector<std::string> result;
    const bool whole = a.size() > kMaxDiffLines || b.size() > kMaxDiffLines;
    const auto lengths = whole ? std::vector<std::vector<unsigned>>() : commonLengths(a, b);
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (!whole && i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && (whole || lengths[i + 1][j] >= lengths[i][j + 1]))) {
            result.push_back("- " + a[i++]);
        } else {
            result.push_back("+ " + b[j++]);
        }
    }
    return result;
}

} // namespace fulmarlink
