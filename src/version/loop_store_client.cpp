#include "tarragonlock/version/loop_store_client.hpp"

#include "tarragonlock/common/log.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Renewals per lease time, so that two may fail before the lease expires.
constexpr int renewals_per_lease = 3;
/// Limit of reads in flight; their calls time out after two seconds.
constexpr std::uint32_t max_concurrent_reads = 5;

} // namespace

loop_store_client::loop_store_client(key_value_client& kv_client, loop_store_options options,
                                     event_handler on_event)
    : kv_client_(kv_client), options_(std::move(options)), on_event_(std::move(on_event))
{
}

void loop_store_client::on_tick(instant now)
{
    kv_client_.on_tick(now);
    const bool hedge = watch_ == watch_state::reading && reads_in_flight_ < max_concurrent_reads &&
                       now - last_read_started_ >= options_.read_hedge_delay;
    if (hedge || (watch_ == watch_state::needs_read && now >= next_retry_))
        start_full_read(now);
    else if (watch_ == watch_state::ready && now >= next_retry_)
        open_watch();
    if (registration_ && !registration_pending_ && now >= next_renewal_)
        renew_registration(now);
    if (registration_ && registered_ && !check_pending_ && now >= next_check_)
        check_registration(now);
}

void loop_store_client::mark_reachable()
{
    if (std::exchange(reachable_, true))
        return;
    log_event(log_level::info, "store_regained");
    // The service may have lost the key in the meantime even if it reports the lease as valid.
    registered_ = false;
    next_renewal_ = instant{};
}

void loop_store_client::start_full_read(instant now)
{
    watch_ = watch_state::reading;
    last_read_started_ = now;
    ++reads_in_flight_;
    auto read = std::make_shared<full_read>();
    read->round = read_round_;
    read_page(read, "");
}

void loop_store_client::read_page(const std::shared_ptr<full_read>& read,
                                  const std::string& after_key)
{
    kv_client_.list(options_.prefix, after_key,
                    [this, read](result<store_page> page)
                    {
                        if (read->round != read_round_)
                            return;
                        if (page)
                            append_page(read, std::move(page).value());
                        else
                            on_read_failed(page.error());
                    });
}

void loop_store_client::on_read_failed(const std::error_code& error)
{
    if (std::exchange(reachable_, false))
        log_event(log_level::warn, "store_lost", {{"error", error.message()}});
    if (--reads_in_flight_ > 0)
        return;
    watch_ = watch_state::needs_read;
    next_retry_ = process_clock::now() + options_.retry_interval;
}

void loop_store_client::append_page(const std::shared_ptr<full_read>& read, store_page page)
{
    mark_reachable();
    // The pages are not a consistent snapshot: the watch starts after the revision of the first
    // page and delivers the changes made since.
    if (!read->revision)
        read->revision = page.revision;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(read->pages.items));
    if (page.truncated && !page.last_key.empty())
    {
        read_page(read, page.last_key);
        return;
    }
    ++read_round_;
    reads_in_flight_ = 0;
    revision_ = *read->revision;
    read->pages.revision = revision_;
    watch_ = watch_state::ready;
    on_event_(std::move(read->pages));
    open_watch();
}

void loop_store_client::open_watch()
{
    watch_ = watch_state::watching;
    watch_opened_ = process_clock::now();
    kv_client_.watch(
        options_.prefix, revision_, options_.watch_wait,
        [this](result<store_change_batch> batch)
        {
            watch_ = watch_state::ready;
            if (batch)
            {
                mark_reachable();
                revision_ = std::max(revision_, batch.value().revision);
                for (auto& change : batch.value().changes)
                    on_event_(std::move(change));
                open_watch();
                return;
            }
            if (std::exchange(reachable_, false))
                log_event(log_level::warn, "store_lost", {{"error", batch.error().message()}});
            // A watch without an answer has taken long enough; a refusal comes at once.
            next_retry_ = watch_opened_ + options_.retry_interval;
            if (batch.error() == store_error::history_lost)
            {
                watch_ = watch_state::needs_read;
                next_retry_ = process_clock::now();
                on_event_(watch_ended{});
            }
        });
}

void loop_store_client::swap(std::uint64_t request, const std::string& key,
                             std::int64_t expected_revision, const std::string& value)
{
    kv_client_.write(key, expected_revision, value, 0,
                     [this, request](result<swap_result> written)
                     {
                         swap_result outcome;
                         if (written)
                             outcome = std::move(written).value();
                         else
                             outcome.in_doubt = true;
                         outcome.request = request;
                         on_event_(std::move(outcome));
                     });
}

void loop_store_client::keep_registered(const std::string& key, const std::string& value)
{
    registration_.emplace(key, value);
    registered_ = false;
    next_renewal_ = instant{};
}

void loop_store_client::unregister()
{
    registration_.reset();
    // If the call fails, the lease expires by itself.
    if (lease_ != 0)
        kv_client_.revoke_lease(std::exchange(lease_, 0));
}

void loop_store_client::renew_registration(instant now)
{
    registration_pending_ = true;
    next_renewal_ = now + options_.lease_time / renewals_per_lease;
    if (lease_ == 0)
    {
        kv_client_.grant_lease(options_.lease_time,
                               [this](result<std::int64_t> granted)
                               {
                                   registration_pending_ = false;
                                   if (!granted)
                                   {
                                       next_renewal_ =
                                           process_clock::now() + options_.retry_interval;
                                       return;
                                   }
                                   lease_ = granted.value();
                                   write_registration();
                               });
        return;
    }
    if (!registered_)
    {
        write_registration();
        return;
    }
    kv_client_.renew_lease(lease_,
                           [this](result<bool> renewed)
                           {
                               registration_pending_ = false;
                               if (renewed && renewed.value())
                                   return;
                               if (renewed)
                               {
                                   log_event(log_level::warn, "registration_lapsed");
                                   lease_ = 0;
                               }
                               registered_ = false;
                               next_renewal_ = process_clock::now() + options_.retry_interval;
                           });
}

void loop_store_client::check_registration(instant now)
{
    check_pending_ = true;
    next_check_ = now + options_.registration_check_interval;
    kv_client_.list(
        registration_->first, "",
        [this](result<store_page> page)
        {
            check_pending_ = false;
            // A failed check is repeated after the interval; the watch logs that the store is lost.
            if (!page || !registration_)
                return;
            const auto& expected = *registration_;
            const auto& items = page.value().items;
            if (std::any_of(items.begin(), items.end(),
                            [&expected](const store_item& item) {
                                return item.key == expected.first && item.value == expected.second;
                            }))
                return;
            log_event(log_level::warn, "registration_missing", {{"key", expected.first}});
            registered_ = false;
            next_renewal_ = instant{};
        });
}

void loop_store_client::write_registration()
{
    if (!registration_)
    {
        registration_pending_ = false;
        return;
    }
    registration_pending_ = true;
    kv_client_.write(registration_->first, key_value_client::any_revision, registration_->second,
                     lease_,
                     [this](result<swap_result> written)
                     {
                         registration_pending_ = false;
                         registered_ = written.has_value();
                         next_check_ = process_clock::now() + options_.registration_check_interval;
                         if (registered_)
                             return;
                         if (written.error() == store_error::lease_ended)
                             lease_ = 0;
                         next_renewal_ = process_clock::now() + options_.retry_interval;
                     });
}

} // namespace tarragonlock
