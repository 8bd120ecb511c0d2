/** Worker thread that runs cases of elections: the async hooks of tap, which slow promises down, are not active there. */
import * as workerThreads from 'node:worker_threads'
import * as electionCases from './electionCases.js'

const port = workerThreads.parentPort!

port.on('message', async (index: number) => port.postMessage(await electionCases.runCase(electionCases.cases[index]!)))
