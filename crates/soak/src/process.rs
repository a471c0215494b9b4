use std::{
    fs::OpenOptions,
    io,
    path::Path,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal};

/// A program that this soak has started. It ends with this value.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose output is added to a file.
    pub(crate) fn start(program: &Path, args: &[&str], log: &Path) -> io::Result<Process> {
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(log).stderr(errors);
        Ok(Process { child: command.spawn()? })
    }

    /// Starts a program whose standard output is read by the caller.
    pub(crate) fn start_piped(program: &Path, args: &[&str]) -> io::Result<Process> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(Process { child: command.spawn()? })
    }

    pub(crate) fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.has_ended()? {
            return Ok(());
        }
        // The process is this one's child and not waited for, so the id is its own.
        Ok(rustix::process::kill_process(Pid::from_child(&self.child), signal)?)
    }

    pub(crate) fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only where the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
