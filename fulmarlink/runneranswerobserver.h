#pragma once

#include <string>

namespace fulmarlink
{

struct RunnerAnswer;
struct TargetInfo;

/** Receives the status that the head of every runner answer carries about the runner, whatever the request was. */
class RunnerAnswerObserver
{
public:
    virtual ~RunnerAnswerObserver() = default;
    /** @p source names the attempt or the kind of call that was answered, for the log. */
    virtual void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, const std::string &source) = 0;
};

} // namespace fulmarlink
