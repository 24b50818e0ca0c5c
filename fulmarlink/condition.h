#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fulmarlink/registry.h"
#include "fulmarlink/requestinfo.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

/** A field of a request on which rules are indexed. */
enum class IndexField : std::uint8_t {
    Customer,
    Model,
    Path,
    None,
};

/** One condition under a rule's `when`. Conditions are plug-ins by their key. Immutable once made. */
class Condition
{
public:
    virtual ~Condition() = default;
    virtual bool matches(const RequestInfo &request) const = 0;
    /** The condition as `explain` prints it. */
    virtual std::string describe() const = 0;
    /** The field that must equal one of indexValues(), if the condition is of that kind. */
    virtual IndexField indexField() const;
    virtual const std::vector<std::string> &indexValues() const;
};

/** Makes a condition from the value under its key; records errors in the reader. */
using ConditionRegistry = Registry<Condition, const YamlReader &>;
using ConditionRegistrar = Registrar<Condition, const YamlReader &>;

} // namespace fulmarlink
