#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarlink
{

/**
 * Plug-ins of one interface, by the name that settings and rules use.
 *
 * How to use: a plug-in's translation unit holds
 * @code
 * const Registrar<Picker, const PickerOptions &> kRegistrar("round_robin", [](const PickerOptions &o) { ... });
 * @endcode
 * and the kernel calls create(). The library is built as objects, so that a linker
 * never drops a translation unit that holds only registrars.
 *
 * Contract: registration happens before main(); afterwards the registry is only
 * read, so it needs no lock. create() gives null for an unknown name.
 */
template<typename Interface, typename... Args>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }

    void add(std::string name, Factory factory)
    {
        m_factories.emplace(std::move(name), std::move(factory));
    }

    std::unique_ptr<Interface> create(std::string_view name, Args... args) const
    {
        const auto it = m_factories.find(name);
        return it == m_factories.end() ? nullptr : it->second(std::forward<Args>(args)...);
    }

    bool contains(std::string_view name) const
    {
        return m_factories.contains(name);
    }

    /** All names, sorted. */
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, factory] : m_factories) {
            result.push_back(name);
        }
        return result;
    }

private:
    std::map<std::string, Factory, std::less<>> m_factories;
};

/** Registers a plug-in at start-up. */
template<typename Interface, typename... Args>
class Registrar
{
public:
    Registrar(std::string name, typename Registry<Interface, Args...>::Factory factory)
    {
        Registry<Interface, Args...>::instance().add(std::move(name), std::move(factory));
    }
};

} // namespace fulmarlink
