// The product never runs a broken variant of the decision code.

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

bool mutated(Mutation /*mutation*/)
{
    return false;
}

} // namespace fulmarlink
