#ifndef WISTERIAHATCH_BENCH_MEASURES_HPP
#define WISTERIAHATCH_BENCH_MEASURES_HPP

#include "measurement.hpp"

namespace wisteriahatch
{

// Each function runs one measurement. Those that repeat an operation "to count
// instructions" rely on a profiler: Meta/capacity.sh counts the instructions of
// their iterations with valgrind.

// Measures how a document change spreads, and the traffic and processor time of
// gossip without one. Size: members.
measurements measure_spread(const bench_options& options);

// Measures gossip traffic while instances restart at the rate expected at the
// size planned for the next two years. Size: members.
measurements measure_churn(const bench_options& options);

// Measures gossip traffic after all updates have been relayed. Size: members.
measurements measure_quiet(const bench_options& options);

// Repeats exchanges between two members that know all others, to count
// instructions. Size: members.
measurements measure_exchange(const bench_options& options);

// Measures how many of 1,000 servers change owners when an instance or a
// failure domain leaves. Size: members.
measurements measure_owner_moves(const bench_options& options);

// Repeats calls of owners_of, to count instructions. Size: members.
measurements measure_ownership(const bench_options& options);

// Measures the memory of a checked document and the size of the delta of a
// change. Size: bytes of the text.
measurements measure_document(const bench_options& options);

// Measures the size of a document whose services have 110 groups of 3 replicas.
// Size: servers.
measurements measure_fleet_document(const bench_options& options);

// Repeats the check of a document, to count instructions. Size: bytes.
measurements measure_document_check(const bench_options& options);

// Repeats computing and encoding the delta of a change, to count instructions.
// Size: bytes.
measurements measure_document_diff(const bench_options& options);

// Repeats decoding and applying a delta, to count instructions. Size: bytes.
measurements measure_document_apply(const bench_options& options);

// Measures the encoded size and the memory of the platform's instance list.
// Size: instances.
measurements measure_directory(const bench_options& options);

// Repeats decoding an instance list, to count instructions. Size: instances.
measurements measure_directory_decode(const bench_options& options);

// Repeats queries over groups of 3 replicas with 10 rows per shard, without
// I/O, to count instructions, and measures the memory of a running query. Size:
// shards.
measurements measure_query(const bench_options& options);

// Repeats the same queries with their JSON encoding, to count instructions, and
// measures the bytes of a sub-request, a reply and an answer. Size: shards.
measurements measure_query_wire(const bench_options& options);

// Repeats JSON-RPC calls with a gossip message as parameters and as result, to
// count instructions, and measures the bytes of request and response. Size:
// records in the message.
measurements measure_rpc(const bench_options& options);

}

#endif
