#include "tarragonlock/request/job.hpp"

#include <xxhash.h>

#include <array>

namespace tarragonlock
{

namespace
{

constexpr std::array outcome_names{"complete", "failed", "refused", "unknown"};
constexpr std::array reason_names{"none",
                                  "invalid_request",
                                  "unauthorized",
                                  "unknown_service",
                                  "no_matching_worker",
                                  "id_conflict",
                                  "unknown_id",
                                  "queue_full",
                                  "quota_exceeded",
                                  "deadline_unreachable",
                                  "deadline_passed",
                                  "cancelled",
                                  "task_failed",
                                  "worker_lost",
                                  "not_ready",
                                  "owner_unreachable",
                                  "records_lost",
                                  "id_expired"};

/// Hashes a sequence of fields. Each text is preceded by its length, so that moving characters
/// between neighbouring fields changes the hash.
class field_hash
{
public:
    field_hash() : state_(XXH64_createState()) { XXH64_reset(state_, 0); }
    ~field_hash() { XXH64_freeState(state_); }
    field_hash(const field_hash&) = delete;
    field_hash& operator=(const field_hash&) = delete;

    void add(std::string_view text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        XXH64_update(state_, text.data(), text.size());
    }
    void add(std::uint64_t number) { XXH64_update(state_, &number, sizeof(number)); }
    std::uint64_t value() const { return XXH64_digest(state_); }

private:
    XXH64_state_t* state_;
};

} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reason value)
{
    return reason_names.at(static_cast<std::size_t>(value));
}

std::uint64_t digest_of(const submission& job)
{
    field_hash hash;
    hash.add(job.service);
    hash.add(job.team);
    hash.add(job.idempotent ? 1 : 0);
    for (const auto& [key, value] : job.labels)
    {
        hash.add(key);
        hash.add(value);
    }
    hash.add(job.tasks.size());
    for (const auto& task : job.tasks)
        hash.add(task.body);
    return hash.value();
}

} // namespace tarragonlock
