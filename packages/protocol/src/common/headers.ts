/** Headers on each call of the inner protocol. */

/** Name of the cluster; calls of another cluster are refused. */
export const clusterHeader = 'rack-cluster'
export const authorizationHeader = 'authorization'
