#include "fulmarlink/yamlreader.h"

#include <algorithm>
#include <numeric>

namespace fulmarlink
{

namespace
{

constexpr std::size_t kMaxFoundBytes = 60;
constexpr std::size_t kMaxSuggestDistance = 3;

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
            diagonal = above;
        }
    }
    return row.back();
}

std::string join(const std::vector<std::string> &names)
{
    std::string result;
    for (const std::string &name : names) {
        result += (result.empty() ? "" : ", ") + name;
    }
    return result;
}

} // namespace

std::string FileError::text() const
{
    return file + ':' + std::to_string(line) + ':' + std::to_string(column) + ": found " + found + ", expected " + expected;
}

YamlReader YamlReader::parse(std::string_view text, std::string file, FileErrors &errors)
{
    if (text.size() > kMaxYamlBytes) {
        errors.push_back({std::move(file), 1, 1, std::to_string(text.size()) + " bytes", "at most " + std::to_string(kMaxYamlBytes)});
        return {YAML::Node(YAML::NodeType::Map), {}, errors};
    }
    try {
        const YAML::Node node = YAML::Load(std::string(text));
        YamlReader reader(node, file, errors);
        if (node.IsMap()) {
            return reader;
        }
        reader.expected("a mapping");
    } catch (const YAML::Exception &error) {
        errors.push_back({file, error.mark.line + 1, error.mark.column + 1, "no valid YAML (" + error.msg + ')', "valid YAML"});
    }
    return {YAML::Node(YAML::NodeType::Map), std::move(file), errors};
}

YamlReader::YamlReader(const YAML::Node &node, std::string file, FileErrors &errors)
    : m_node(node)
    , m_file(std::move(file))
    , m_errors(&errors)
{
}

void YamlReader::keys(std::initializer_list<std::string_view> allowed) const
{
    keys(std::vector<std::string>(allowed.begin(), allowed.end()));
}

void YamlReader::keys(const std::vector<std::string> &allowed) const
{
    if (!defined()) {
        return;
    }
    if (!isMap()) {
        expected("a mapping with the keys " + join(allowed));
        return;
    }
    std::vector<std::string> seen;
    for (const auto &pair : m_node) {
        const YamlReader key(pair.first, m_file, *m_errors);
        const std::string name = pair.first.IsScalar() ? pair.first.Scalar() : std::string();
        if (std::ranges::find(seen, name) != seen.end()) {
            key.fail("key '" + name + "' twice", "each key once");
        }
        seen.push_back(name);
        if (std::ranges::find(allowed, name) != allowed.end()) {
            continue;
        }
        const auto nearest = nearestName(name, allowed);
        key.fail("unknown key '" + name + "'", nearest ? "'" + *nearest + "'" : "one of " + join(allowed));
    }
}

bool YamlReader::has(std::string_view key) const
{
    return child(key).defined();
}

YamlReader YamlReader::child(std::string_view key) const
{
    if (!isMap()) {
        return {YAML::Node(YAML::NodeType::Undefined), m_file, *m_errors};
    }
    const YAML::Node &constant = m_node;
    return {constant[std::string(key)], m_file, *m_errors};
}

std::vector<YamlReader> YamlReader::elements() const
{
    std::vector<YamlReader> result;
    if (!defined()) {
        return result;
    }
    if (!m_node.IsSequence()) {
        result.push_back(*this);
        return result;
    }
    for (const YAML::Node &node : m_node) {
        result.emplace_back(node, m_file, *m_errors);
    }
    return result;
}

std::vector<std::pair<std::string, YamlReader>> YamlReader::entries() const
{
    std::vector<std::pair<std::string, YamlReader>> result;
    if (!isMap()) {
        return result;
    }
    for (const auto &pair : m_node) {
        result.emplace_back(pair.first.IsScalar() ? pair.first.Scalar() : std::string(), YamlReader(pair.second, m_file, *m_errors));
    }
    return result;
}

std::string YamlReader::text(std::string_view key, std::string_view fallback) const
{
    const YamlReader value = child(key);
    return value.defined() ? value.scalar() : std::string(fallback);
}

std::string YamlReader::requiredText(std::string_view key) const
{
    const YamlReader value = child(key);
    if (!value.defined()) {
        fail("no key '" + std::string(key) + "'", "'" + std::string(key) + "' with a value");
        return {};
    }
    return value.scalar();
}

std::uint64_t YamlReader::number(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most) const
{
    return child(key).scalarNumber(fallback, least, most);
}

double YamlReader::real(std::string_view key, double fallback, double least, double most) const
{
    const YamlReader value = child(key);
    if (!value.defined()) {
        return fallback;
    }
    double result = 0;
    if (!value.m_node.IsScalar() || !YAML::convert<double>::decode(value.m_node, result) || !(result >= least && result <= most)) {
        value.expected("a number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return result;
}

bool YamlReader::flag(std::string_view key, bool fallback) const
{
    return child(key).scalarFlag(fallback);
}

std::vector<std::string> YamlReader::texts(std::string_view key) const
{
    return child(key).scalars();
}

std::string YamlReader::scalar() const
{
    if (!m_node.IsScalar() || m_node.Scalar().empty()) {
        expected("a text");
        return {};
    }
    return m_node.Scalar();
}

std::vector<std::string> YamlReader::scalars() const
{
    std::vector<std::string> result;
    for (const YamlReader &element : elements()) {
        result.push_back(element.scalar());
    }
    return result;
}

std::uint64_t YamlReader::scalarNumber(std::uint64_t fallback, std::uint64_t least, std::uint64_t most) const
{
    if (!defined()) {
        return fallback;
    }
    std::uint64_t result = 0;
    const bool digits = m_node.IsScalar() && !m_node.Scalar().empty() && std::ranges::all_of(m_node.Scalar(), [](char c) {
                            return c >= '0' && c <= '9';
                        });
    if (!digits || !YAML::convert<std::uint64_t>::decode(m_node, result) || result < least || result > most) {
        expected("a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return result;
}

bool YamlReader::scalarFlag(bool fallback) const
{
    if (!defined()) {
        return fallback;
    }
    if (m_node.IsScalar() && (m_node.Scalar() == "true" || m_node.Scalar() == "false")) {
        return m_node.Scalar() == "true";
    }
    expected("true or false");
    return fallback;
}

bool YamlReader::defined() const
{
    return m_node.IsDefined() && !m_node.IsNull();
}

bool YamlReader::isMap() const
{
    return m_node.IsDefined() && m_node.IsMap();
}

int YamlReader::line() const
{
    return m_node.Mark().line + 1;
}

void YamlReader::fail(std::string found, std::string expected) const
{
    if (m_errors->size() < kMaxFileErrors) {
        const YAML::Mark mark = m_node.IsDefined() ? m_node.Mark() : YAML::Mark(); // a missing part has no place
        m_errors->push_back({m_file, mark.line + 1, mark.column + 1, std::move(found), std::move(expected)});
    }
}

void YamlReader::expected(std::string what) const
{
    fail(foundText(), std::move(what));
}

std::string YamlReader::foundText() const
{
    if (m_node.IsScalar()) {
        return "'" + m_node.Scalar().substr(0, kMaxFoundBytes) + "'";
    }
    if (m_node.IsSequence()) {
        return "a list";
    }
    return m_node.IsMap() ? "a mapping" : "nothing";
}

std::optional<std::string> nearestName(std::string_view word, const std::vector<std::string> &names)
{
    std::optional<std::string> best;
    std::size_t bestDistance = kMaxSuggestDistance + 1;
    for (const std::string &name : names) {
        if (word.size() > name.size() + kMaxSuggestDistance) {
            continue;
        }
        const std::size_t distance = editDistance(word, name);
        if (distance < bestDistance && distance < name.size()) {
            bestDistance = distance;
            best = name;
        }
    }
    return best;
}

} // namespace fulmarlink
