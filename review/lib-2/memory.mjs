/** Memory of a process, and the platform's limit on it. */
import * as fs from 'node:fs'

const bytesPerMb = 1_000_000
const bytesPerKb = 1024
const pollMs = 50
const restartMs = 300

/** Returns the private memory of a process in MB, or undefined if it has ended. Pages of files, such as the program's own, are left out. */
export function privateMb (pid) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
    return Number(/RssAnon:\s+(\d+)/.exec(status)[1]) * bytesPerKb / bytesPerMb
  } catch {
    return undefined
  }
}

/** Kills the entries of a fleet that exceed the limit, as the platform does, and starts them again after a short delay. */
export class MemoryLimit {
  kills = new Map()
  peaks = new Map()
  isStopped = false

  constructor (fleet, limitMb, record) {
    this.fleet = fleet
    this.limitMb = limitMb
    this.record = record
  }

  start () {
    this.timer = setInterval(() => this.check(), pollMs)
  }

  stop () {
    clearInterval(this.timer)
    this.isStopped = true
  }

  check () {
    for (let i = 1; i <= this.fleet.options.entries; i++) {
      const name = `entry-${i}`
      const mb = privateMb(this.fleet.processes.get(name).pid)
      if (mb === undefined) continue
      this.peaks.set(name, Math.max(mb, this.peaks.get(name) ?? 0))
      if (mb > this.limitMb) this.kill(i, name, mb)
    }
  }

  kill (number, name, mb) {
    if (this.fleet.stoppingNames.has(name)) return
    this.kills.set(name, (this.kills.get(name) ?? 0) + 1)
    this.record(`platform: ${name} uses ${Math.round(mb)} MB of private memory, more than ${this.limitMb}: killed, number ${this.kills.get(name)}`)
    this.fleet.signal(name, 'SIGKILL')
    setTimeout(() => { if (!this.isStopped) this.fleet.startEntry(number) }, restartMs)
  }
}
