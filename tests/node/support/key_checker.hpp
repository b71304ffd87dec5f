#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/support/cell_world.hpp"

namespace stand_in
{

/// Changes the keys of a world's customers while it runs, and tries keys at its VMs. Checks that
/// each version is in force in time where it can be known, and that no VM returns to an older one.
class key_checker
{
public:
    key_checker(cell_world& world, unsigned seed);

    /// To be called ten times a second.
    void sample();

    /// Writes a version in which one customer has another key more, or one less. Callers use a new
    /// key some seconds after it was added, and an old one isn't removed before.
    void change();

    int tries() const { return m_tries; }
    int changes() const { return m_changes; }
    std::vector<std::string> m_violations;

private:
    struct issued_key
    {
        std::string m_customer;
        std::int64_t m_added_ms = 0;
        std::int64_t m_removed_ms = -1; ///< Negative: it is valid.
    };

    bool is_informed(const std::string& vm);
    void try_key(const std::string& vm, const std::string& key);
    void check(const std::string& vm, const std::string& key, int status);

    cell_world& m_world;
    std::mt19937_64 m_random; ///< Of its own, so that the world's course stays as it is.
    std::map<std::string, issued_key> m_issued;
    std::map<std::string, std::int64_t> m_uninformed_ms; ///< Last time, by VM.
    /// Keys that a VM was seen to accept, and to refuse after their removal.
    std::set<std::pair<std::string, std::string>> m_accepted;
    std::set<std::pair<std::string, std::string>> m_refused;
    int m_tries = 0;
    int m_changes = 0;
    int m_last_key = 0;
};

} // namespace stand_in
