"""Starts the project's programs as `deploy/system.toml` says, and ends them."""

import os
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"grace_period_s": 8}


def free_ports(count, hosts=("127.0.0.1",)):
    """Ports that are free on all of these addresses."""
    found = []
    port = 20000 + (os.getpid() * 97) % 10000
    while len(found) < count:
        port += 1
        sockets = []
        try:
            for host in hosts:
                sockets.append(socket.socket())
                sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sockets[-1].bind((host, port))
            found.append(port)
        except OSError:
            pass
        for opened in sockets:
            opened.close()
    return found


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, folder, number, name, zone, ip, store, ports, share=0.19):
        self.number = number
        self.name = name
        self.frontend = (ip, ports[0])
        self.ready = (ip, ports[1])
        values = {
            "node_name": name,
            "availability_zone": zone,
            "listen_addresses.frontend": f"{ip}:{ports[0]}",
            "listen_addresses.ready": f"{ip}:{ports[1]}",
            "ip_address": ip,
            "internal_port_range.0": ports[2],
            "internal_port_range.1": ports[3],
            "platform.address": f"{store[0]}:{store[1]}",
            "contract_bounds.grace_period_s": BOUNDS["grace_period_s"],
            "limits.cpu_fraction": share,
        }
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m.group(1)]), file.read())
        settings = os.path.join(folder, f"{name}.conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = [
            settings if word == "/etc/basilhall/local.conf" else word
            for word in shlex.split(role["run"])
        ]
        self.log_path = os.path.join(folder, f"{name}.log")
        self.child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child:
            self.send(signal.SIGKILL)
            self.child.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Record:
    """`record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} s  {text}\n")
        self.file.flush()


def temporary_folder():
    return tempfile.mkdtemp(prefix="basilhall-review-")
