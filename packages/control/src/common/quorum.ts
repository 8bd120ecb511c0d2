/** Majorities among the voters of a membership. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

/** Returns the replicas that vote. */
export function votersOf (membership: inner.Membership): readonly inner.Replica[] {
  return membership.replicas.filter((replica) => replica.voter)
}

/** Returns how many voters form a majority. */
export function majoritySize (membership: inner.Membership): number {
  return Math.floor(votersOf(membership).length / 2) + 1
}

/** Returns how many voters can lose their disks right after a commit while at least one copy of the committed entries remains. */
export function toleratedDiskLosses (membership: inner.Membership): number {
  return majoritySize(membership) - 1
}

/** Returns the smallest number of voters that tolerates a number of lost disks. */
export function requiredVoterCount (diskLosses: number): number {
  return 2 * diskLosses + 1
}

/** Returns the highest value that a majority of the voters has reached; 0 without voters. */
export function valueReachedByMajority (membership: inner.Membership, valueOf: (replicaId: string) => number): number {
  const values = votersOf(membership).map((voter) => valueOf(voter.id)).sort((a, b) => b - a)
  return values[majoritySize(membership) - 1] ?? 0
}

/** Returns whether a replica votes. */
export function isVoter (membership: inner.Membership, replicaId: string): boolean {
  return votersOf(membership).some((voter) => voter.id === replicaId)
}
