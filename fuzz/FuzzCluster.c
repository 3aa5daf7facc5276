#include "Cluster.h"

/*
 * FuzzCluster - fuzzes Raft, its storage and membership changes, and the
 * replicated machine, with three or five replicas that fail and with simulated
 * agents that send commands.
 */

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct Cluster *cluster = g_new(struct Cluster, 1);
    Cluster_Init(cluster, &input);
    while (!FuzzInput_IsAtEnd(&input)) {
        Cluster_Step(cluster);
    }
    Cluster_Converge(cluster);
    Cluster_Done(cluster);
    g_free(cluster);
    return 0;
}
