/* Injects faults into the system calls of the process that loads this library (LD_PRELOAD): steps of the Unix clock, calls
 * that fail for a moment, short reads and writes, and a disk that fails. What fails, and how often, is read from a file
 * that the test maps and changes while the process runs. The slots are those of `Slot` in mod.rs, in the same order. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum slot {
    UNIX_CLOCK_OFFSET_NS,
    SEED,
    ACCEPT_PERCENT, ACCEPT_HITS,
    SHORT_IO_PERCENT, SHORT_IO_HITS,
    INTERRUPT_PERCENT, INTERRUPT_HITS,
    SOCKET_OPTION_PERCENT, SOCKET_OPTION_HITS,
    SOCKET_PERCENT, SOCKET_HITS,
    OPEN_PERCENT, OPEN_HITS,
    SYNC_PERCENT, SYNC_ERROR, SYNC_HITS,
    WRITE_PERCENT, WRITE_ERROR, WRITE_HITS,
    SLOTS
};

/* At most this many bytes are transferred by a short read or write. */
#define SHORT_IO_BYTES 40

static volatile int64_t *slots;

__attribute__((constructor)) static void map_slots(void) {
    const char *path = getenv("SYSTEM_FAULTS");
    int file = path ? (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC, 0) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) slots = mapped;
    syscall(SYS_close, file);
}

/* Whether a call fails this time; counts it in `hits`. */
static int strikes(enum slot percent, enum slot hits) {
    if (!slots || slots[percent] <= 0) return 0;
    uint64_t next = __atomic_add_fetch((uint64_t *)&slots[SEED], 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    next = (next ^ (next >> 30)) * 0xbf58476d1ce4e5b9u;
    next = (next ^ (next >> 27)) * 0x94d049bb133111ebu;
    next ^= next >> 31;
    if ((int64_t)(next % 100) >= slots[percent]) return 0;
    __atomic_add_fetch((int64_t *)&slots[hits], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail(int error) {
    errno = error;
    return -1;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && slots && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = time->tv_sec * 1000000000LL + time->tv_nsec + slots[UNIX_CLOCK_OFFSET_NS];
        time->tv_sec = nanos / 1000000000LL;
        time->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, ENOMEM, EINTR, EPROTO, ENETUNREACH};
    static unsigned turn;
    if (strikes(ACCEPT_PERCENT, ACCEPT_HITS)) {
        return fail(errors[__atomic_fetch_add(&turn, 1, __ATOMIC_RELAXED) % (sizeof errors / sizeof *errors)]);
    }
    return (int)syscall(SYS_accept4, listener, address, length, flags);
}

static size_t shortened(size_t length) {
    return length > SHORT_IO_BYTES && strikes(SHORT_IO_PERCENT, SHORT_IO_HITS) ? SHORT_IO_BYTES : length;
}

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    if (strikes(INTERRUPT_PERCENT, INTERRUPT_HITS)) return fail(EINTR);
    return syscall(SYS_recvfrom, socket, buffer, shortened(length), flags, NULL, NULL);
}

/* Signal handlers write to a socket pair. That write never waits, so no signal interrupts it. */
static int is_internet_socket(int socket) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
    if (slots && slots[INTERRUPT_PERCENT] > 0 && is_internet_socket(socket) && strikes(INTERRUPT_PERCENT, INTERRUPT_HITS)) return fail(EINTR);
    return syscall(SYS_sendto, socket, buffer, shortened(length), flags, NULL, 0);
}

int setsockopt(int socket, int level, int name, const void *value, socklen_t length) {
    if (strikes(SOCKET_OPTION_PERCENT, SOCKET_OPTION_HITS)) return fail(ENOBUFS);
    return (int)syscall(SYS_setsockopt, socket, level, name, value, length);
}

int getpeername(int socket, struct sockaddr *address, socklen_t *length) {
    if (strikes(SOCKET_OPTION_PERCENT, SOCKET_OPTION_HITS)) return fail(ENOBUFS);
    return (int)syscall(SYS_getpeername, socket, address, length);
}

int socket(int domain, int type, int protocol) {
    if (strikes(SOCKET_PERCENT, SOCKET_HITS)) return fail(ENFILE);
    return (int)syscall(SYS_socket, domain, type, protocol);
}

int bind(int socket, const struct sockaddr *address, socklen_t length) {
    if (strikes(SOCKET_PERCENT, SOCKET_HITS)) return fail(EADDRNOTAVAIL);
    return (int)syscall(SYS_bind, socket, address, length);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    int mode = va_arg(arguments, int);
    va_end(arguments);
    if (strikes(OPEN_PERCENT, OPEN_HITS)) return fail(EMFILE);
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int fsync(int file) {
    if (strikes(SYNC_PERCENT, SYNC_HITS)) return fail((int)slots[SYNC_ERROR]);
    return (int)syscall(SYS_fsync, file);
}

int fdatasync(int file) {
    if (strikes(SYNC_PERCENT, SYNC_HITS)) return fail((int)slots[SYNC_ERROR]);
    return (int)syscall(SYS_fdatasync, file);
}

static int is_regular(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

ssize_t write(int file, const void *buffer, size_t length) {
    if (slots && slots[WRITE_PERCENT] > 0 && is_regular(file) && strikes(WRITE_PERCENT, WRITE_HITS)) {
        return fail((int)slots[WRITE_ERROR]);
    }
    return syscall(SYS_write, file, buffer, length);
}

ssize_t pwrite64(int file, const void *buffer, size_t length, off64_t offset) {
    if (slots && slots[WRITE_PERCENT] > 0 && strikes(WRITE_PERCENT, WRITE_HITS)) {
        return fail((int)slots[WRITE_ERROR]);
    }
    return syscall(SYS_pwrite64, file, buffer, length, offset);
}

ssize_t pwrite(int file, const void *buffer, size_t length, off_t offset) {
    return pwrite64(file, buffer, length, offset);
}

int ftruncate64(int file, off64_t length) {
    if (strikes(WRITE_PERCENT, WRITE_HITS)) return fail((int)slots[WRITE_ERROR]);
    return (int)syscall(SYS_ftruncate, file, length);
}
