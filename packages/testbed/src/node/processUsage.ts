/** Reads CPU time, I/O and memory of a process from /proc. */
import * as fs from 'node:fs'

/** Unit of the CPU times in /proc/<pid>/stat. */
const clockTicksPerSecond = 100
const bytesPerKb = 1024

/** CPU time and I/O since the process started, and its current memory. */
export interface ProcessUsage {
  readonly cpuSeconds: number
  /** Bytes read and written, on sockets and files. */
  readonly bytes: number
  readonly residentMb: number
}

/** Reads the current usage of a process. */
export function readUsage (pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8')
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  const matchNumber = (text: string, pattern: RegExp): number => Number(pattern.exec(text)?.[1] ?? 0)
  return {
    // utime and stime, the fields 14 and 15 of the file; `fields` begins with field 3.
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond,
    bytes: matchNumber(io, /rchar: (\d+)/) + matchNumber(io, /wchar: (\d+)/),
    residentMb: matchNumber(status, /VmRSS:\s+(\d+)/) / bytesPerKb
  }
}

/** Returns the number of open descriptors of a process. */
export function countDescriptors (pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length
}

/** Returns the usage per second between two readings, and the memory at the later one. */
export function computeUsageRates (before: ProcessUsage, after: ProcessUsage, seconds: number): { readonly corePercent: number, readonly kbPerSecond: number, readonly residentMb: number } {
  return {
    corePercent: (after.cpuSeconds - before.cpuSeconds) / seconds * 100,
    kbPerSecond: (after.bytes - before.bytes) / seconds / bytesPerKb,
    residentMb: after.residentMb
  }
}
