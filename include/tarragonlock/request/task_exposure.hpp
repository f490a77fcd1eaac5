#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <set>

namespace tarragonlock
{

/// How far the tasks of a job can have run, and which agents have been asked to return those that
/// wait there.
///
/// A task is unplaced, offered (sent to an agent; it may wait there or run), or ended (it ran, or
/// its agent was lost for so long that a run must have ended). Only a report of its agent makes an
/// offered task unplaced again.
///
/// Load pattern: more work than capacity, beside workers that stall. Jobs reach their deadline
/// while their tasks wait at agents; without the agents' word they would be answered as if they
/// might have run, and a caller whose work must not run twice could not send them again.
class job_exposure
{
public:
    /// @param tasks  number of tasks that are being sent to agents
    void on_offered(std::uint32_t tasks) { offered_ += tasks; }
    /// An agent has reported that a task never ran.
    void on_returned() { --offered_; }
    /// A task has ended, or must have ended because its agent has been lost for long enough.
    void on_ended()
    {
        --offered_;
        ++ended_;
    }
    /// The connection to an agent with tasks of the job is lost. Whether they ran is
    /// unknown from now on.
    void on_agent_lost(std::uint64_t agent)
    {
        in_doubt_ = true;
        unanswered_.erase(agent);
    }

    /// Records that agents have been asked to return the tasks that wait there.
    /// @param agents  those asked
    /// @param until   time limit for their answers
    void take_back(std::set<std::uint64_t> agents, instant until)
    {
        taking_back_ = true;
        unanswered_ = std::move(agents);
        answers_due_ = until;
    }
    /// The agents have shown that tasks run: the job goes on, and is not taken back again.
    void resume()
    {
        taking_back_ = false;
        in_doubt_ = true;
    }
    /// An agent has returned the tasks that waited there.
    void on_taken_back(std::uint64_t agent) { unanswered_.erase(agent); }

    /// @return whether a task may have been given to a worker
    bool may_have_started() const { return offered_ > 0 || ended_ > 0; }
    /// @return whether agents can still show that no task has run
    bool can_be_cleared() const { return ended_ == 0 && !in_doubt_; }
    /// @return whether the job's tasks are being taken back; none is placed any more
    bool taking_back() const { return taking_back_; }
    /// @return whether all agents that were asked have answered, or have been silent for too long
    bool answered(instant now) const { return unanswered_.empty() || now >= answers_due_; }
    /// @return when the silence of the agents counts as an answer
    instant answers_due() const { return answers_due_; }
    std::uint32_t offered() const { return offered_; }
    std::uint32_t ended() const { return ended_; }

    friend bool operator==(const job_exposure&, const job_exposure&) = default;

private:
    std::uint32_t offered_ = 0;
    std::uint32_t ended_ = 0;
    bool in_doubt_ = false;
    bool taking_back_ = false;
    std::set<std::uint64_t> unanswered_;
    instant answers_due_;
};

/// What to do with a job that has no answer yet.
enum class job_verdict : std::uint8_t
{
    wait,
    take_back, ///< ask its agents to return the tasks that wait there
    refuse,    ///< no task has run, and it is too late to start one
    resume,    ///< its tasks run; those that fail are placed again
    give_up    ///< tasks may have run, and the job can't end in time any more
};

/// Times that decide about a job.
struct job_times
{
    /// When its caller stops waiting, less the time that the answer takes.
    instant deadline;
    /// Earliest end of the job if every task at an agent runs.
    instant earliest_end;
    /// Earliest end of the job if no task at an agent has been started.
    instant earliest_end_if_unstarted;

    friend bool operator==(const job_times&, const job_times&) = default;
};

/// Time for which an entry waits for agents that it asked to return tasks; the entry's tick of 20
/// ms twice, and a round trip to another region.
inline constexpr duration take_back_wait = std::chrono::milliseconds(100);

/// Decides whether a job has to be answered before its deadline.
///
/// A job that can't be in time any more is answered at once. As long as no task is known to have
/// run, its agents are asked first, so that it can be refused truthfully.
/// @param exposure  how far its tasks can have run
/// @return the decision at this time
job_verdict judge_job(instant now, const job_exposure& exposure, const job_times& times);

/// @return when judge_job may decide otherwise if nothing happens to the job until then
instant next_judgement(instant now, const job_exposure& exposure, const job_times& times);

} // namespace tarragonlock
