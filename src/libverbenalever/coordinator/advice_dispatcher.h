#pragma once

#include "loop/clock.h"
#include "ports/advice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

/// Sends each question to the advisor through one of the connected VMs.
///
/// The advisor serves one call at a time for each VM, so a short question behind a long one waits
/// until that is answered. Long questions therefore use only some of the VMs, and the others are
/// reserved for short ones; more VMs are reserved the more time recent short questions took. Some
/// of these are for urgent work alone, since a short question of batch work may still take several
/// times as long as one of urgent work. Of the VMs that a question may use, the one that is
/// expected to answer it first sends it.
class advice_dispatcher {
public:
    using answer_callback = std::function<void(advice_answer)>;
    /// Sends a question through one VM; on failure or timeout the callback gets `answered ==
    /// false`.
    using question_sender =
        std::function<void(const advice_question&, milliseconds timeout, answer_callback)>;

    advice_dispatcher();
    ~advice_dispatcher();
    advice_dispatcher(const advice_dispatcher&) = delete;
    advice_dispatcher& operator=(const advice_dispatcher&) = delete;

    void add_vm(const std::string& vm, question_sender ask);
    void remove_vm(const std::string& vm);

    /// Sends a question through the VM that will be free first.
    /// @param cost   expected time that the advisor takes to answer
    /// @param urgent whether it is about a step of urgent work
    /// @param done   called with the answer, possibly within this call; never when false is
    /// returned
    /// @return false when no VM is free; the caller retries later
    bool ask(const advice_question& question, milliseconds cost, bool urgent, answer_callback done);

    /// @return number of VMs that would send a long question to the advisor without waiting
    [[nodiscard]] std::size_t free_long_vms() const;

    /// @return number of VMs that can reach the advisor
    [[nodiscard]] std::size_t vm_count() const
    {
        return this->vms.size();
    }

    /// A question that takes longer than this is long: it would use up much of the latency
    /// objective of an urgent job.
    static constexpr milliseconds long_question{250};

private:
    struct vm_state {
        question_sender ask;
        milliseconds busy_until{0}; ///< time since boot by which all its questions are answered
        int open_questions = 0;
        /// Serial number; a VM that is removed and added again gets a new one.
        std::uint64_t registration = 0;
    };

    /// @return number of VMs, from the first in order of name, that may send long questions
    [[nodiscard]] std::size_t long_vm_count(milliseconds now) const;
    /// @return number of VMs, from the last in order of name, that only urgent work may use
    [[nodiscard]] std::size_t urgent_vm_count(milliseconds now) const;
    /// The total cost of recent questions of one kind; the weight of a question decreases
    /// exponentially with its age.
    struct recent_cost {
        void add(milliseconds cost, milliseconds now);
        /// @return how many VMs these questions keep busy on average
        [[nodiscard]] double busy_vms(milliseconds now) const;

        double sum_ms = 0;          ///< as of updated_at
        milliseconds updated_at{0}; ///< time since boot of the last question
    };
    /// The kinds of questions, by the VMs that they may use.
    enum class question_kind { urgent, short_question, long_question };
    /// @return the VM that will answer first; null when all would make the question wait too long
    [[nodiscard]] vm_state* choose_vm(question_kind kind, milliseconds now, milliseconds cost);

    std::map<std::string, vm_state> vms;
    std::uint64_t last_registration = 0;
    recent_cost short_questions; ///< those of urgent work as well
    recent_cost urgent_questions;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
