#pragma once

#include <string>

#include "fulmarlink/registry.h"
#include "fulmarlink/route.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

/** One action under a rule's `then`. Actions are plug-ins by their key. Immutable once made. */
class Action
{
public:
    virtual ~Action() = default;
    virtual void apply(Route &route) const = 0;
    virtual std::string describe() const = 0;
    /** True for the actions that settle where a request goes; a rule has exactly one. */
    virtual bool decides() const
    {
        return false;
    }
};

/** Makes an action from the value under its key; records errors in the reader. */
using ActionRegistry = Registry<Action, const YamlReader &>;
using ActionRegistrar = Registrar<Action, const YamlReader &>;

} // namespace fulmarlink
