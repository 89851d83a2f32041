#include "process/support/free_port.h"

#include "process/support/port_source.h"

namespace snipespar::testing {

cli::endpoint free_address()
{
    static port_source ports;
    return {"127.0.0.1", ports.next()};
}

} // namespace snipespar::testing
