#pragma once

#include <memory>
#include <utility>

namespace fulmarlink
{

/**
 * Owns a T and copies it when it is copied, so that a class with a hidden part can have
 * its copies defaulted in its .cpp, where T is complete. Never null.
 */
template<typename T>
class Cloned
{
public:
    Cloned(std::unique_ptr<T> value) // NOLINT(google-explicit-constructor): assigned from make_unique()
        : m_value(std::move(value))
    {
    }

    Cloned(const Cloned &other)
        : m_value(std::make_unique<T>(*other.m_value))
    {
    }

    Cloned &operator=(const Cloned &other)
    {
        if (this != &other) {
            m_value = std::make_unique<T>(*other.m_value);
        }
        return *this;
    }

    ~Cloned() = default;

    T *operator->()
    {
        return m_value.get();
    }

    const T *operator->() const
    {
        return m_value.get();
    }

private:
    std::unique_ptr<T> m_value;
};

} // namespace fulmarlink
