#pragma once

#include <string>

namespace fulmarlink
{

struct RunnerAnswer;
struct TargetInfo;

/** Hears what the head of each answer says of the runner that gave it, whatever was asked. */
class RunnerAnswerObserver
{
public:
    virtual ~RunnerAnswerObserver() = default;
    /** @p source: the attempt or the kind of call that was answered, for the log. */
    virtual void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, const std::string &source) = 0;
};

} // namespace fulmarlink
