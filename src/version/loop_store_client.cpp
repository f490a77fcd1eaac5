#include "tarragonlock/version/loop_store_client.hpp"

#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

namespace
{

/// Renewals in one lease time, so that two may fail.
constexpr int renewals_per_lease = 3;
/// Most readings under way at once; their calls time out after two seconds.
constexpr std::uint32_t max_readings = 5;

} // namespace

loop_store_client::loop_store_client(key_value_calls& calls, loop_store_options options,
                                     sink on_event)
    : calls_(calls), options_(std::move(options)), on_event_(std::move(on_event))
{
}

void loop_store_client::on_tick(instant now)
{
    calls_.on_tick(now);
    const bool hedge = watch_ == watch_state::reading && readings_open_ < max_readings &&
                       now - reading_sent_ >= options_.read_hedge;
    if (hedge || (watch_ == watch_state::unread && now >= next_try_))
        begin_reading(now);
    else if (watch_ == watch_state::ready && now >= next_try_)
        open_watch();
    if (registration_ && !registering_ && now >= next_renewal_)
        renew(now);
}

void loop_store_client::note_reachable()
{
    if (std::exchange(reachable_, true))
        return;
    log_event(log_level::info, "store_regained");
    // The service may have dropped the key meanwhile, whatever it says of the lease.
    registered_ = false;
    next_renewal_ = instant{};
}

void loop_store_client::begin_reading(instant now)
{
    watch_ = watch_state::reading;
    reading_sent_ = now;
    ++readings_open_;
    auto pass = std::make_shared<reading>();
    pass->round = reading_round_;
    read_page(pass, "");
}

void loop_store_client::read_page(const std::shared_ptr<reading>& pass,
                                  const std::string& after_key)
{
    calls_.list(options_.prefix, after_key,
                [this, pass](result<store_page> page)
                {
                    if (pass->round != reading_round_)
                        return;
                    if (page)
                        take_page(pass, std::move(page).value());
                    else
                        on_reading_failed(page.error());
                });
}

void loop_store_client::on_reading_failed(const std::error_code& error)
{
    if (std::exchange(reachable_, false))
        log_event(log_level::warn, "store_lost", {{"error", error.message()}});
    if (--readings_open_ > 0)
        return;
    watch_ = watch_state::unread;
    next_try_ = process_clock::now() + options_.retry_interval;
}

void loop_store_client::take_page(const std::shared_ptr<reading>& pass, store_page page)
{
    note_reachable();
    // Pages are no snapshot; changes since the first one come from the watch.
    if (pass->pages.items.empty())
        pass->revision = page.revision;
    const auto last_key = page.items.empty() ? "" : page.items.back().key;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(pass->pages.items));
    if (page.truncated && !last_key.empty())
    {
        read_page(pass, last_key);
        return;
    }
    ++reading_round_;
    readings_open_ = 0;
    revision_ = pass->revision;
    watch_ = watch_state::ready;
    on_event_(std::move(pass->pages));
    open_watch();
}

void loop_store_client::open_watch()
{
    watch_ = watch_state::watching;
    calls_.watch(
        options_.prefix, revision_, options_.watch_wait,
        [this](result<store_batch> batch)
        {
            watch_ = watch_state::ready;
            if (batch)
            {
                note_reachable();
                revision_ = std::max(revision_, batch.value().revision);
                for (auto& change : batch.value().changes)
                    on_event_(std::move(change));
                open_watch();
                return;
            }
            if (std::exchange(reachable_, false))
                log_event(log_level::warn, "store_lost", {{"error", batch.error().message()}});
            next_try_ = process_clock::now() + options_.retry_interval;
            if (batch.error() == store_error::history_lost)
            {
                watch_ = watch_state::unread;
                next_try_ = process_clock::now();
                on_event_(store_lost{});
            }
        });
}

void loop_store_client::swap(std::uint64_t request, const std::string& key,
                             std::int64_t expected_revision, const std::string& value)
{
    calls_.write(key, expected_revision, value, 0,
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
    // When the call fails, the lease lapses by itself.
    if (lease_ != 0)
        calls_.end_lease(std::exchange(lease_, 0));
}

void loop_store_client::renew(instant now)
{
    registering_ = true;
    next_renewal_ = now + options_.lease_time / renewals_per_lease;
    if (lease_ == 0)
    {
        calls_.grant_lease(options_.lease_time,
                           [this](result<std::int64_t> granted)
                           {
                               registering_ = false;
                               if (!granted)
                               {
                                   next_renewal_ = process_clock::now() + options_.retry_interval;
                                   return;
                               }
                               lease_ = granted.value();
                               put_registration();
                           });
        return;
    }
    if (!registered_)
    {
        put_registration();
        return;
    }
    calls_.keep_lease(lease_,
                      [this](result<bool> kept)
                      {
                          registering_ = false;
                          if (kept && kept.value())
                              return;
                          if (kept)
                          {
                              log_event(log_level::warn, "registration_lapsed");
                              lease_ = 0;
                          }
                          registered_ = false;
                          next_renewal_ = process_clock::now() + options_.retry_interval;
                      });
}

void loop_store_client::put_registration()
{
    if (!registration_)
    {
        registering_ = false;
        return;
    }
    registering_ = true;
    calls_.write(registration_->first, key_value_calls::any_revision, registration_->second, lease_,
                 [this](result<swap_result> written)
                 {
                     registering_ = false;
                     registered_ = written.has_value();
                     if (registered_)
                         return;
                     if (written.error() == store_error::lease_ended)
                         lease_ = 0;
                     next_renewal_ = process_clock::now() + options_.retry_interval;
                 });
}

} // namespace tarragonlock
