#ifndef WISTERIAHATCH_BENCH_MEASURES_HPP
#define WISTERIAHATCH_BENCH_MEASURES_HPP

#include "figure.hpp"

namespace wisteriahatch
{

// How a document change spreads, and what gossip sends and costs without one.
// Size: members.
figures measure_spread(const bench_options& options);

// What gossip sends while instances are restarted at the two-year rate. Size:
// members.
figures measure_churn(const bench_options& options);

// What gossip sends after all news has been sent often enough. Size: members.
figures measure_quiet(const bench_options& options);

// Exchanges of two members that know all others; their cost is counted from
// outside. Size: members.
figures measure_exchange(const bench_options& options);

// How many of 1,000 servers change owners when an instance or a failure domain
// leaves. Size: members.
figures measure_owner_moves(const bench_options& options);

// Calls owners_of; its cost is counted from outside. Size: members.
figures measure_ownership(const bench_options& options);

// Memory of a checked document and bytes of a change. Size: bytes of the text.
figures measure_document(const bench_options& options);

// Bytes of a document whose services have 110 groups of 3 replicas. Size:
// servers.
figures measure_fleet_document(const bench_options& options);

// Checks a document; its cost is counted from outside. Size: bytes.
figures measure_document_check(const bench_options& options);

// Computes and encodes the delta of a change; its cost is counted from
// outside. Size: bytes.
figures measure_document_diff(const bench_options& options);

// Decodes and applies a delta; its cost is counted from outside. Size: bytes.
figures measure_document_apply(const bench_options& options);

// Bytes and memory of the platform's instance list. Size: instances.
figures measure_directory(const bench_options& options);

// Decodes an instance list; its cost is counted from outside. Size: instances.
figures measure_directory_decode(const bench_options& options);

// Queries over groups of 3 replicas with 10 rows a shard, without I/O: memory
// in flight; the cost is counted from outside. Size: shards.
figures measure_query(const bench_options& options);

// The same queries with their JSON: bytes of a sub-request, a reply and an
// answer; the cost is counted from outside. Size: shards.
figures measure_query_wire(const bench_options& options);

// JSON-RPC calls with a gossip message of so many records as parameters and
// result; the cost is counted from outside. Size: records.
figures measure_rpc(const bench_options& options);

}

#endif
