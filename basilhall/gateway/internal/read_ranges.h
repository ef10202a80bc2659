// Which batches of each journal have been read by name or from a list.
//
//     ReadRanges ranges;
//     const journal::BatchNumber after = ranges.begin(incarnation, lastKnown);
//     ranges.onRead(incarnation, after + 1);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/journal/batch_codec.h"

#include <map>

namespace basilhall::gateway
{

// Not thread-safe.
class ReadRanges
{
public:
    // Returns the batch after which a read has to continue if all batches up to `lastKnown` are
    // known: batches that were read need not be read again, if there is no gap between the two.
    journal::BatchNumber continueAfter(const Incarnation &journal,
                                       journal::BatchNumber lastKnown) const;
    // Begins to read after `lastKnown`; returns the same as continueAfter().
    journal::BatchNumber begin(const Incarnation &journal, journal::BatchNumber lastKnown);
    // The batch was read. Ignored unless it follows the last one of the range.
    void onRead(const Incarnation &journal, journal::BatchNumber batch);
    // All batches up to `batch` are known, or were removed before.
    void onAllRead(const Incarnation &journal, journal::BatchNumber batch);
    // 0 if nothing was read.
    journal::BatchNumber last(const Incarnation &journal) const;

private:
    struct Range {
        // All batches after `first` up to `last` were read.
        journal::BatchNumber first = 0;
        journal::BatchNumber last = 0;
    };

    std::map<Incarnation, Range> m_ranges;
};

} // namespace basilhall::gateway
