/** Majorities among the voters of a membership. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

/** Replicas that vote. */
export function votersOf (membership: inner.Membership): readonly inner.Replica[] {
  return membership.replicas.filter((replica) => replica.voter)
}

/** How many voters make a majority. */
export function majorityOf (membership: inner.Membership): number {
  return Math.floor(votersOf(membership).length / 2) + 1
}

/** Disks whose loss right after a commit leaves a copy of it. */
export function toleratedLosses (membership: inner.Membership): number {
  return majorityOf(membership) - 1
}

/** Fewest voters that survive a number of lost disks. */
export function votersFor (losses: number): number {
  return 2 * losses + 1
}

/** Highest value that a majority of the voters has reached; 0 without voters. */
export function reachedByMajority (membership: inner.Membership, valueOf: (replicaId: string) => number): number {
  const values = votersOf(membership).map((voter) => valueOf(voter.id)).sort((a, b) => b - a)
  return values[majorityOf(membership) - 1] ?? 0
}

export function isVoter (membership: inner.Membership, replicaId: string): boolean {
  return votersOf(membership).some((voter) => voter.id === replicaId)
}
