#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace fulmarlink
{

/** State split into shards, each under its own lock. The number of shards is fixed at construction. */
template<typename T>
class Sharded
{
public:
    /** Makes each shard by @p make, which is given the shard's index. */
    Sharded(std::size_t shards, const std::function<std::unique_ptr<T>(std::size_t)> &make)
    {
        for (std::size_t i = 0; i < shards; ++i) {
            m_shards.push_back(std::make_unique<Shard>());
            m_shards.back()->value = make(i);
        }
    }

    /** Calls @p action with the shard of @p key under its lock. */
    template<typename Action>
    auto with(std::size_t key, Action action)
    {
        Shard &shard = *m_shards[key % m_shards.size()];
        const std::lock_guard lock(shard.mutex);
        return action(*shard.value);
    }

    /** Calls @p action with each shard in turn, each under its own lock. */
    template<typename Action>
    void each(Action action)
    {
        for (const auto &shard : m_shards) {
            const std::lock_guard lock(shard->mutex);
            action(*shard->value);
        }
    }

    std::size_t size() const
    {
        return m_shards.size();
    }

private:
    struct Shard {
        std::mutex mutex;
        std::unique_ptr<T> value;
    };
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace fulmarlink
