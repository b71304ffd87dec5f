#include "hostile_clients/support/daemon_process.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/raw_target.hpp"

namespace hostile
{

namespace
{

std::string write_settings(const std::string& text)
{
    auto name = (std::filesystem::temp_directory_path() / "hostile-clients-XXXXXX").string();
    const int file = mkstemp(name.data());
    if (file < 0 || write(file, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        throw std::runtime_error("can't write the settings file " + name);
    close(file);
    return name;
}

/// Runs in the child, between fork() and exec(): only async-signal-safe calls.
[[noreturn]] void become_daemon(const char* settings_file, std::size_t max_descriptors)
{
    // Without the test, nothing would end the process.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int null = open("/dev/null", O_RDWR);
    dup2(null, STDIN_FILENO);
    dup2(null, STDOUT_FILENO);
    if (max_descriptors > 0)
    {
        const rlimit limit{max_descriptors, max_descriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    // The child inherits the sockets of the test, which would count as its own.
    constexpr int first_inherited = STDERR_FILENO + 1;
    close_range(first_inherited, ~0U, 0);
    execl(DRAGONFLYGAP_DAEMON, DRAGONFLYGAP_DAEMON, "--settings", settings_file, nullptr);
    _exit(127);
}

} // namespace

daemon_process::daemon_process(const daemon_options& options)
    : m_settings_file(write_settings(options.m_settings))
{
    m_pid = fork();
    if (m_pid == 0)
        become_daemon(m_settings_file.c_str(), options.m_max_descriptors);
    if (m_pid < 0)
        throw std::runtime_error("can't start a process");
}

daemon_process::~daemon_process()
{
    if (running())
    {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    unlink(m_settings_file.c_str());
}

bool daemon_process::running()
{
    m_ended = m_ended || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    return !m_ended;
}

std::size_t daemon_process::open_descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    const auto folder = "/proc/" + std::to_string(m_pid) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error))
        ++count;
    return count;
}

std::size_t daemon_process::status_kb(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size()));
    return 0;
}

std::vector<endpoint> unused_addresses(std::size_t count)
{
    std::vector<endpoint> addresses(count);
    std::vector<int> sockets;
    for (auto& address : addresses)
        sockets.push_back(test::bind_to_loopback(address));
    for (const int socket : sockets)
        close(socket);
    return addresses;
}

} // namespace hostile
