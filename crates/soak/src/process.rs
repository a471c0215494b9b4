use std::{
    fs::OpenOptions,
    io,
    path::Path,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal};

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard output and error to a file.
    pub(crate) fn start(program: &Path, args: &[&str], log: &Path) -> io::Result<Process> {
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(log).stderr(errors);
        Ok(Process { child: command.spawn()? })
    }

    /// Starts a program with its standard output connected to a pipe.
    pub(crate) fn start_piped(program: &Path, args: &[&str]) -> io::Result<Process> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(Process { child: command.spawn()? })
    }

    pub(crate) fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// ID of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal unless the process has exited.
    pub(crate) fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.has_ended()? {
            return Ok(());
        }
        // The child has not been reaped, so its PID cannot have been reused.
        Ok(rustix::process::kill_process(Pid::from_child(&self.child), signal)?)
    }

    pub(crate) fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
