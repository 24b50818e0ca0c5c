#pragma once

#include "app/commandline.h"

namespace fulmarlink
{

/** The program's commands. Each takes its own arguments, argv[0] being the command's name. */
ExitCode runEntry(int argc, const char **argv);
ExitCode runGateway(int argc, const char **argv);
ExitCode runAgent(int argc, const char **argv);
ExitCode runCheck(int argc, const char **argv);
ExitCode runExplain(int argc, const char **argv);
ExitCode runCtl(int argc, const char **argv);
ExitCode runHeld(int argc, const char **argv);
ExitCode runLimited(int argc, const char **argv);
ExitCode runTargets(int argc, const char **argv);
ExitCode runDemo(int argc, const char **argv);
ExitCode runStandin(int argc, const char **argv);

/** Reads a whole file; false, with a message on standard error, if that fails. */
bool readFile(const std::string &path, std::string &text);

} // namespace fulmarlink
