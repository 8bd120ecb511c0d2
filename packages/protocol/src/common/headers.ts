/** Headers of each call of the inner protocol, which the processes of a cluster use among themselves. */

/** Carries the cluster name; calls from another cluster are rejected. */
export const clusterHeader = 'rack-cluster'
/** Carries the inner token. */
export const authorizationHeader = 'authorization'
