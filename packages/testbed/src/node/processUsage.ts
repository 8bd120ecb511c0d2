/** Processor time, bytes and memory of a process, as the kernel counts them. */
import * as fs from 'node:fs'

const ticksPerSecond = 100
const bytesPerKb = 1024

/** Counts since the start of a process. */
export interface Usage {
  readonly cpuSeconds: number
  /** Bytes read and written, sockets and files together. */
  readonly bytes: number
  readonly residentMb: number
}

export function usageOf (pid: number): Usage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8')
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  const number = (text: string, pattern: RegExp): number => Number(pattern.exec(text)?.[1] ?? 0)
  return {
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
    bytes: number(io, /rchar: (\d+)/) + number(io, /wchar: (\d+)/),
    residentMb: number(status, /VmRSS:\s+(\d+)/) / bytesPerKb
  }
}

/** Usage per second between two readings. */
export function ratePerSecond (before: Usage, after: Usage, seconds: number): { readonly corePercent: number, readonly kbPerSecond: number, readonly residentMb: number } {
  return {
    corePercent: (after.cpuSeconds - before.cpuSeconds) / seconds * 100,
    kbPerSecond: (after.bytes - before.bytes) / seconds / bytesPerKb,
    residentMb: after.residentMb
  }
}
