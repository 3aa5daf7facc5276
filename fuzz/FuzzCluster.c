#include "Cluster.h"

/*
 * FuzzCluster - the replicated log, its storage, membership and machine of
 * three replicas under failures, with the agents on top.
 */

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct Cluster *cluster = g_new(struct Cluster, 1);
    Cluster_Init(cluster, &input);
    while (!FuzzInput_IsOver(&input)) {
        Cluster_Step(cluster);
    }
    Cluster_Settle(cluster);
    Cluster_Done(cluster);
    g_free(cluster);
    return 0;
}
