#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace fulmarlink
{

/** One error in a settings or rule file. Lines and columns count from 1. */
struct FileError {
    std::string file;
    int line = 0;
    int column = 0;
    std::string found;
    std::string expected;

    /** file:line:column: found X, expected Y */
    std::string text() const;
};

using FileErrors = std::vector<FileError>;

/** Limits that keep a hostile file from costing much. */
inline constexpr std::size_t kMaxYamlBytes = 1 << 20; ///< the object API's largest value
inline constexpr std::size_t kMaxFileErrors = 200; ///< later errors are not recorded

/**
 * Reads one YAML node and records every error with its place, so that a file is
 * checked whole in one pass.
 *
 * How to use: start with parse(), name the allowed keys with keys(), then read each
 * value. A value that is absent gives the default; one that is wrong records an
 * error and gives the default too. The caller looks at the errors at the end.
 *
 * Contract: the error list outlives the reader.
 */
class YamlReader
{
public:
    /** Parses @p text; a syntax error is recorded and gives an empty mapping. */
    static YamlReader parse(std::string_view text, std::string file, FileErrors &errors);

    YamlReader(const YAML::Node &node, std::string file, FileErrors &errors);

    /** Records an error for each key that is not in @p allowed, with the nearest allowed one. */
    void keys(std::initializer_list<std::string_view> allowed) const;
    void keys(const std::vector<std::string> &allowed) const;

    bool has(std::string_view key) const;
    /** The child under @p key; an undefined reader if absent. */
    YamlReader child(std::string_view key) const;
    /** The elements of a sequence; a scalar counts as a sequence of one. */
    std::vector<YamlReader> elements() const;
    /** Key and value readers of a mapping, in the file's order. */
    std::vector<std::pair<std::string, YamlReader>> entries() const;

    std::string text(std::string_view key, std::string_view fallback = {}) const;
    std::string requiredText(std::string_view key) const;
    std::uint64_t number(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most) const;
    double real(std::string_view key, double fallback, double least, double most) const;
    bool flag(std::string_view key, bool fallback) const;
    std::vector<std::string> texts(std::string_view key) const;

    /** This node itself as a scalar. */
    std::string scalar() const;
    std::vector<std::string> scalars() const;
    std::uint64_t scalarNumber(std::uint64_t fallback, std::uint64_t least, std::uint64_t most) const;
    bool scalarFlag(bool fallback) const;
    bool defined() const;
    bool isMap() const;
    int line() const;

    /** Records an error at this node. */
    void fail(std::string found, std::string expected) const;
    /** As fail(), with what was found taken from the node. */
    void expected(std::string what) const;

private:
    std::string foundText() const;

    YAML::Node m_node;
    std::string m_file;
    FileErrors *m_errors;
};

/** The name in @p names nearest to @p word by edit distance, if near enough to suggest. O(names * |word|^2). */
std::optional<std::string> nearestName(std::string_view word, const std::vector<std::string> &names);

} // namespace fulmarlink
