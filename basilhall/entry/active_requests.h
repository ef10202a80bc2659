// Tracks the requests in progress on one traffic thread by API key, to end them when their key is
// withdrawn.
//
//     const ActiveRequests::Entry entry(activeRequests, keyDigest, interrupt);
//     activeRequests.interruptWithdrawnKeys(before, now);
#pragma once

#include "basilhall/entry/interrupt.h"
#include "basilhall/manifest/manifest.h"

#include <map>
#include <string>

namespace basilhall::entry
{

// Not thread-safe. Memory is one entry for each request in progress.
class ActiveRequests
{
public:
    // Registers a request for the lifetime of this object.
    class Entry
    {
    public:
        Entry(ActiveRequests &activeRequests, std::string keyDigest, Interrupt &interrupt);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        ActiveRequests &m_activeRequests;
        std::multimap<std::string, Interrupt *>::iterator m_position;
    };

    // Interrupts every request whose key is missing from `now` or belongs to another team there.
    void interruptWithdrawnKeys(const manifest::Manifest &before, const manifest::Manifest &now);

    std::size_t size() const { return m_requests.size(); }

private:
    std::multimap<std::string, Interrupt *> m_requests;
};

} // namespace basilhall::entry
