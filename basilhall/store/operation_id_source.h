// Generates operation identifiers that are unique in a process, so that one driver can route every
// outcome to the component that requested it.
//
//     OperationIdSource ids;
//     journal::Writer writer(incarnation, ids, {});
//     ownership::Claimer claimer(self, ids, {});
#pragma once

#include "basilhall/store/operation.h"

namespace basilhall::store
{

// Not thread-safe. Must outlive the components that hold a reference to it.
class OperationIdSource
{
public:
    // Returns an identifier that this source has not returned before; the first is 1.
    OperationId next() { return ++m_last; }

private:
    OperationId m_last = 0;
};

} // namespace basilhall::store
