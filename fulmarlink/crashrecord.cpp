#include "fulmarlink/crashrecord.h"

#include "fulmarlink/log.h"

namespace fulmarlink
{

std::string textOf(std::span<const CrashSuspect> suspects)
{
    std::string result;
    for (const CrashSuspect &suspect : suspects) {
        result += (result.empty() ? "" : ",") + suspect.fingerprint.text();
    }
    return result;
}

std::string statesOf(std::span<const CrashSuspect> suspects)
{
    std::string result;
    for (const CrashSuspect &suspect : suspects) {
        result += (result.empty() ? "" : ",") + std::string(suspectStateName(suspect.state)) + (suspect.answerStarted ? "+answering" : "")
                  + (suspect.unread ? "+unread" : "");
    }
    return result;
}

std::string segmentsOf(std::span<const CrashSuspect> suspects)
{
    std::vector<std::string> texts;
    for (const CrashSuspect &suspect : suspects) {
        texts.push_back(joined(suspect.segments, "+"));
    }
    return joined(texts);
}

std::string textOf(std::span<const TargetIncarnation> incarnations)
{
    std::string result;
    for (const TargetIncarnation &incarnation : incarnations) {
        result += (result.empty() ? "" : ",") + incarnation.id + '@' + std::to_string(incarnation.born);
    }
    return result;
}

} // namespace fulmarlink
