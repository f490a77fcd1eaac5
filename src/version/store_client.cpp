#include "tarragonlock/version/store_client.hpp"

#include "tarragonlock/common/mailbox.hpp"

#include <atomic>
#include <thread>

namespace tarragonlock
{

namespace
{

struct swap_command
{
    std::uint64_t request = 0;
    std::string key;
    std::int64_t expected_revision = 0;
    std::string value;
};

struct register_command
{
    std::string key;
    std::string value;
};

struct unregister_command
{
};

struct stop_command
{
};

using command = std::variant<swap_command, register_command, unregister_command, stop_command>;

class threaded_store_client : public store_client
{
public:
    threaded_store_client(const store_options& options, event_handler on_event)
        : options_(options), on_event_(std::move(on_event)), calls_connection_(options),
          watch_connection_(std::make_shared<store_connection>(options))
    {
        call_thread_ = std::thread([this] { process_commands(); });
        // The watch blocks in a read that cannot be interrupted, so its thread is detached and ends
        // with the process.
        std::thread([state = state_, connection = watch_connection_, options = options_,
                     handler = on_event_] { watch(state, connection, options, handler); })
            .detach();
    }

    ~threaded_store_client() override
    {
        state_->stopping = true;
        commands_.post(stop_command{});
        call_thread_.join();
    }
    threaded_store_client(const threaded_store_client&) = delete;
    threaded_store_client& operator=(const threaded_store_client&) = delete;

    void swap(std::uint64_t request, const std::string& key, std::int64_t expected_revision,
              const std::string& value) override
    {
        commands_.post(swap_command{request, key, expected_revision, value});
    }
    void keep_registered(const std::string& key, const std::string& value) override
    {
        commands_.post(register_command{key, value});
    }
    void unregister() override { commands_.post(unregister_command{}); }
    std::uint64_t call_count() const override { return state_->calls; }

private:
    struct shared_state
    {
        std::atomic<bool> stopping{false};
        std::atomic<std::uint64_t> calls{0};
    };

    static void watch(const std::shared_ptr<shared_state>& state,
                      const std::shared_ptr<store_connection>& connection,
                      const store_options& options, const event_handler& on_event)
    {
        while (!state->stopping)
        {
            ++state->calls;
            if (auto read = connection->read_all())
            {
                auto& [snapshot, revision] = read.value();
                on_event(std::move(snapshot));
                ++state->calls;
                connection->watch(revision,
                                  [&](store_change change)
                                  {
                                      if (!state->stopping)
                                          on_event(std::move(change));
                                      return !state->stopping;
                                  });
                if (!state->stopping)
                    on_event(watch_ended{});
            }
            std::this_thread::sleep_for(options.retry_interval);
        }
    }

    void process_commands()
    {
        while (true)
        {
            const auto item = commands_.receive(options_.lease_time / 3);
            if (item && std::holds_alternative<stop_command>(*item))
                return;
            if (item)
                std::visit([this](const auto& body) { execute(body); }, *item);
            renew_registration();
        }
    }

    void execute(const swap_command& request)
    {
        ++state_->calls;
        auto answer = calls_connection_.swap(request.key, request.expected_revision, request.value);
        swap_result outcome;
        if (answer)
            outcome = std::move(answer).value();
        else
            outcome.in_doubt = true;
        outcome.request = request.request;
        on_event_(std::move(outcome));
    }

    void execute(const register_command& request) { registration_ = request; }

    void execute(const unregister_command&)
    {
        registration_.reset();
        ++state_->calls;
        // If the call fails, the lease expires by itself.
        if (lease_ != 0)
            (void)calls_connection_.revoke_lease(lease_);
        lease_ = 0;
    }

    void execute(const stop_command&) {}

    void renew_registration()
    {
        const auto now = process_clock::now();
        if (!registration_ || (lease_ != 0 && now - last_renewal_ < options_.lease_time / 4))
            return;
        last_renewal_ = now;
        ++state_->calls;
        if (lease_ != 0)
        {
            const auto renewed = calls_connection_.renew_lease(lease_);
            if (!renewed || renewed.value())
                return; // Renewed, or no answer: the lease may have been renewed.
        }
        lease_ = 0;
        const auto granted = calls_connection_.grant_lease();
        if (!granted)
            return;
        state_->calls += 2;
        const auto put =
            calls_connection_.put(registration_->key, registration_->value, granted.value());
        if (put)
            lease_ = granted.value();
    }

    store_options options_;
    event_handler on_event_;
    store_connection calls_connection_;
    std::shared_ptr<store_connection> watch_connection_;
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
    mailbox<command> commands_;
    std::optional<register_command> registration_;
    std::int64_t lease_ = 0;
    instant last_renewal_;
    std::thread call_thread_;
};

} // namespace

std::unique_ptr<store_client> store_client::open(const store_options& options,
                                                 event_handler on_event)
{
    return std::make_unique<threaded_store_client>(options, std::move(on_event));
}

} // namespace tarragonlock
