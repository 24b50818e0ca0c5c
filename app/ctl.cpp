#include "app/commands.h"

namespace fulmarlink
{

ExitCode runCtl(int argc, const char **argv)
{
    CommandLine line("ctl", "", "");
    ExitCode code = ExitCode::Ok;
    line.parse(argc, argv, code);
    return code;
}

} // namespace fulmarlink
