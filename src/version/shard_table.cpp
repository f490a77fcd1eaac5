#include "tarragonlock/version/shard_table.hpp"

#include <xxhash.h>

namespace tarragonlock
{

std::uint32_t shard_of(std::string_view job_id)
{
    return static_cast<std::uint32_t>(XXH64(job_id.data(), job_id.size(), 0) % shard_count);
}

std::size_t rendezvous_owner(std::uint32_t shard, const std::vector<std::string>& candidates)
{
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto weight = XXH64(candidates[i].data(), candidates[i].size(), shard);
        if (i != 0 && weight <= best_weight)
            continue;
        best = i;
        best_weight = weight;
    }
    return best;
}

} // namespace tarragonlock
