#include "measures.hpp"

#include <exception>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <string>

DEFINE_string(measure, "",
              "what to measure: churn, directory, directory_decode, document, "
              "document_apply, document_check, "
              "document_diff, exchange, fleet_document, "
              "owner_moves, ownership, query, "
              "query_wire, quiet, rpc or spread");
DEFINE_uint64(size, 9, "members, bytes or shards");
DEFINE_uint64(iterations, 1,
              "repetitions of measures whose cost is counted from outside");
DEFINE_uint64(seed, 1, "seed of random choices");

namespace
{

using namespace wisteriahatch;

const std::map<std::string, std::function<measurements(const bench_options&)>>
    benchmarks{{"churn", measure_churn},
               {"directory", measure_directory},
               {"directory_decode", measure_directory_decode},
               {"document", measure_document},
               {"document_apply", measure_document_apply},
               {"document_check", measure_document_check},
               {"document_diff", measure_document_diff},
               {"exchange", measure_exchange},
               {"fleet_document", measure_fleet_document},
               {"owner_moves", measure_owner_moves},
               {"ownership", measure_ownership},
               {"query", measure_query},
               {"query_wire", measure_query_wire},
               {"quiet", measure_quiet},
               {"rpc", measure_rpc},
               {"spread", measure_spread}};

// Prints one line per measurement: role, measure, size, value, unit, command.
void write_csv(const measurements& results)
{
    for (const measurement& entry : results)
    {
        std::cout << entry.role << ',' << entry.measure << ',' << entry.size
                  << ',' << entry.value << ',' << entry.unit
                  << ",wisteriahatch-bench --measure=" << FLAGS_measure
                  << " --size=" << FLAGS_size << " --seed=" << FLAGS_seed
                  << '\n';
    }
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("measures one slope of docs/CAPACITY.md and "
                            "prints lines of docs/capacity.csv");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto chosen = benchmarks.find(FLAGS_measure);
    if (chosen == benchmarks.end())
    {
        std::cerr << "wisteriahatch-bench: unknown --measure \""
                  << FLAGS_measure << "\"; see --help\n";
        return 1;
    }
    try
    {
        write_csv(chosen->second({.size = FLAGS_size,
                                  .iterations = FLAGS_iterations,
                                  .seed = FLAGS_seed}));
        return 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "wisteriahatch-bench: " << failure.what() << '\n';
        return 2;
    }
}
